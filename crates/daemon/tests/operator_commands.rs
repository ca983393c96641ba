//! `savorywalk config`, `status` and `audit` against an entry in this process.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::net::SocketAddr;

use savorywalk::configuration::ConfigurationSnapshot;
use savorywalk::entry::EntryDaemon;
use savorywalk::settings;
use savorywalk_standin::{Deployment, token_for};
use support::command_test::{CommandResult, CommandTest};

async fn entry() -> EntryDaemon {
    let plan = Deployment::Roadside.plan();
    let configuration = ConfigurationSnapshot::build(1, plan.configuration).unwrap();
    let text = "[node]\nname = entry-1\ndata_center = bole\n\
        [callers]\naddress = 127.0.0.1:0\n[operators]\naddress = 127.0.0.1:0\n\
        [endpoints]\naddress = 127.0.0.1:0\n[entry]\n";
    let settings = settings::parse(text).unwrap();
    EntryDaemon::start(settings, configuration).await.unwrap()
}

/// Runs a command with the operator's token against `entry`.
async fn run(entry: SocketAddr, command: &str, patch: &str) -> CommandResult {
    let arguments = format!("{command} --entry {entry} --token-file operator.token");
    let test = CommandTest::new(&arguments)
        .file("operator.token", &(token_for("operator") + "\n"))
        .file("patch.json", patch);
    tokio::task::spawn_blocking(move || test.run())
        .await
        .unwrap()
}

const PATCH: &str = r#"{"workspaces": {"mojo-branch": {"share": 3}}}"#;

#[tokio::test(flavor = "multi_thread")]
async fn a_patch_is_accepted_then_shown_and_can_be_rolled_back() {
    let daemon = entry().await;
    let address = daemon.operators_address();
    let patched = run(address, "config patch --file patch.json --version 1", PATCH).await;
    assert_eq!(
        (patched.code, patched.stdout.as_str()),
        (0, "version 2 is accepted\n")
    );
    let got = run(address, "config get", PATCH).await;
    assert_eq!(got.stderr, "version 2\n");
    let document: serde_json::Value = serde_json::from_str(&got.stdout).unwrap();
    assert_eq!(document["workspaces"]["mojo-branch"]["share"], 3);
    let rolled = run(address, "config rollback --to 1 --version 2", PATCH).await;
    assert_eq!(rolled.stdout, "version 3 is accepted\n");
    let history = run(address, "config history --after 1", PATCH).await;
    let lines: Vec<&str> = history.stdout.lines().collect();
    assert!(
        lines[0].ends_with("operator  workspaces.mojo-branch.share"),
        "{lines:?}"
    );
    assert_eq!(
        lines[2],
        "version 3 is in force; versions from 1 on can be rolled back to"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_patch_that_came_second_is_told_what_changed() {
    let daemon = entry().await;
    let address = daemon.operators_address();
    let patch = "config patch --file patch.json --version 1";
    run(address, patch, PATCH).await;
    let second = run(address, patch, PATCH).await;
    assert_eq!(second.code, 2);
    for text in [
        "version_mismatch",
        "version 2 by operator: workspaces.mojo-branch.share",
    ] {
        assert!(second.stderr.contains(text), "{}", second.stderr);
    }
    let resent = "config patch --file patch.json --version 2 --id change-1";
    for _ in 0..2 {
        let result = run(address, resent, PATCH).await;
        assert_eq!(result.stdout, "version 3 is accepted\n");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_audit_trail_is_printed_and_verified() {
    let daemon = entry().await;
    let address = daemon.operators_address();
    for version in 1..=2 {
        let command = format!("config patch --file patch.json --version {version} --id c{version}");
        run(address, &command, PATCH).await;
    }
    run(
        address,
        "config patch --file patch.json --version 1 --id late",
        PATCH,
    )
    .await;
    let audit = run(address, "audit", PATCH).await;
    let lines: Vec<&str> = audit.stdout.lines().collect();
    assert!(
        lines[0].ends_with("operator  patch c1 accepted  version 2"),
        "{lines:?}"
    );
    assert!(
        lines[2].ends_with("operator  patch late refused  for version 1, at 3"),
        "{lines:?}"
    );
    let verified = run(address, "audit --verify", PATCH).await;
    assert_eq!(verified.code, 0, "{}", verified.stderr);
    let expected = "records 1 to 3 follow each other without a gap\n";
    assert!(verified.stdout.starts_with(expected), "{}", verified.stdout);
    let status = run(address, "status", PATCH).await;
    assert!(
        status.stdout.contains("\"audit_sequence\": 3"),
        "{}",
        status.stdout
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_input_is_named_and_an_entry_that_is_gone_too() {
    let daemon = entry().await;
    let address = daemon.operators_address();
    let patch = "config patch --file patch.json --version 1";
    let broken = run(address, patch, "{").await;
    assert_eq!(broken.code, 2);
    assert!(
        broken.stderr.contains("no JSON object"),
        "{}",
        broken.stderr
    );
    let wrong = run(address, patch, r#"{"limits": {"claim_retention_s": 5}}"#).await;
    assert_eq!(wrong.code, 2);
    assert!(
        wrong.stderr.contains("limits.claim_retention_s"),
        "{}",
        wrong.stderr
    );
    let arguments = format!("status --entry {address} --token-file operator.token");
    let stranger = CommandTest::new(&arguments).file("operator.token", "nobody's");
    let stranger = tokio::task::spawn_blocking(move || stranger.run())
        .await
        .unwrap();
    assert_eq!(stranger.code, 2);
    assert!(
        stranger.stderr.contains("unauthorized"),
        "{}",
        stranger.stderr
    );
    assert!(daemon.stop().await);
    let gone = run(address, "status", PATCH).await;
    assert_eq!(gone.code, 1);
    assert!(gone.stderr.contains("no answer from"), "{}", gone.stderr);
}
