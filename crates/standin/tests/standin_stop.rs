//! The stand-ins' process ends by itself on either signal to stop.

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

use rstest::rstest;

#[rstest]
fn a_stop_signal_ends_the_process_without_an_error(#[values("-TERM", "-INT")] signal: &str) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_savorywalk-standin"))
        .args(["--deployment", "roadside"])
        .env("RUST_LOG", "info")
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let log = BufReader::new(child.stderr.take().unwrap());
    let mut lines = log.lines().map(Result::unwrap);
    let is_ready = lines.any(|line| line.contains("event=standins_ready"));

    let pid = child.id().to_string();
    let sent = Command::new("kill").args([signal, &pid]).status().unwrap();
    let status = child.wait().unwrap();
    assert!(is_ready, "it ended before it was ready: {status}");
    assert!(sent.success(), "{signal} could not be sent");
    assert_eq!(status.code(), Some(0), "{signal}: {status}");
}
