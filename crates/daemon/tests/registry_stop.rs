//! A registry that is stopped as planned; see docs/operators/upgrade-and-restart.md.

#![allow(clippy::unwrap_used, reason = "test code: a failure should panic")]

mod support;

use std::net::TcpListener;
use std::process::Command;

use support::command_test::CommandTest;
use support::log_lines::LogLines;

/// Returns an address whose port is free at the moment.
fn free_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().to_string()
}

#[test]
fn a_planned_stop_logs_no_error_and_does_not_start_the_voter_again() {
    let (links, calls) = (free_address(), free_address());
    let settings = format!(
        "[node]\nname = registry-1\ndata_center = bole\nroles = registry\n\
         [cluster]\naddress = {links}\nseeds = {calls}\nfirst_start = true\n\
         [registry]\naddress = {calls}\ndata_folder = data\n\
         [log]\nlevel = info\n"
    );
    let test = CommandTest::new("serve --settings registry.ini").file("registry.ini", &settings);
    let mut child = test.command().spawn().unwrap();
    let log = LogLines::read(child.stdout.take().unwrap());
    log.wait_for("replica_leads");
    let pid = child.id().to_string();
    let sent = Command::new("kill").args(["-TERM", &pid]).status().unwrap();
    assert!(sent.success());
    log.wait_for("registry_closed");
    assert!(child.wait().unwrap().success());
    let lines = log.all();
    let count = |word: &str| lines.iter().filter(|line| line.contains(word)).count();
    assert_eq!(count("level=error"), 0, "{lines:#?}");
    assert_eq!(count("event=voter_started"), 1, "{lines:#?}");
    assert_eq!(count("event=voter_stopped"), 1, "{lines:#?}");
}
