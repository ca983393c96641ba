//! One key=value line for each event, at the level that is asked for.

mod support;

use support::serve_test::{ServeProcess, ServeTest};

/// Sends a call that is refused, which is logged at debug, and gives the lines.
async fn lines_after_refusal(daemon: &ServeProcess) -> Vec<String> {
    assert_eq!(daemon.post("fly").send().await.status, 404);
    daemon.terminate();
    daemon.log().wait_for("entry_closed");
    daemon.log().all()
}

fn has(lines: &[String], word: &str) -> bool {
    lines
        .iter()
        .any(|line| line.split(' ').any(|found| found == word))
}

#[tokio::test]
async fn the_variable_goes_before_the_settings() {
    let daemon = ServeTest::new()
        .log("level = info\n")
        .log_variable("debug")
        .start();
    let lines = lines_after_refusal(&daemon).await;
    assert!(has(&lines, "event=call_refused"), "{lines:#?}");
}

#[tokio::test]
async fn the_settings_decide_without_the_variable() {
    let daemon = ServeTest::new().log("level = info\n").start();
    let lines = lines_after_refusal(&daemon).await;
    assert!(!has(&lines, "event=call_refused"), "{lines:#?}");
    assert!(has(&lines, "event=entry_ready"));
}

#[tokio::test]
async fn every_line_is_time_level_event_and_pairs() {
    let daemon = ServeTest::new().log_variable("savorywalk=debug").start();
    for line in lines_after_refusal(&daemon).await {
        let keys: Vec<&str> = line
            .split(' ')
            .filter_map(|word| word.split_once('=').map(|(key, _)| key))
            .collect();
        assert_eq!(keys[..3], ["time", "level", "event"], "{line}");
    }
}
