//! `savorywalk demo` as a person or a script meets it.

mod support;

use std::io::Read;

use rstest::rstest;
use support::command_test::CommandTest;

#[rstest]
#[case("roadside", "book-tow")]
#[case("airport", "assign-escort")]
fn a_demo_answers_every_pipeline(#[case] deployment: &str, #[case] booking: &str) {
    let arguments = format!("demo --once --deployment {deployment}");
    let result = CommandTest::new(&arguments).run();
    assert_eq!(result.code, 0, "{}", result.stderr);
    for pipeline in ["summarise", "brief", "draft", booking] {
        assert!(
            result.stdout.contains(&format!("\n{pipeline}: "))
                || result.stdout.starts_with(pipeline)
        );
    }
    assert!(result.stdout.contains("cost by stage:"));
    assert!(!result.stdout.contains("FAILED"));
}

#[test]
fn a_demo_with_a_failing_pool_exits_with_failure() {
    let result = CommandTest::new("demo --once --fail-pool rerankers").run();
    assert_eq!(result.code, 1);
    assert!(
        result.stdout.contains("summarise: FAILED"),
        "{}",
        result.stdout
    );
    assert!(
        result.stdout.contains("brief: "),
        "the other pipelines still ran"
    );
    assert!(
        result.stderr.contains("1 request(s) of the demo"),
        "{}",
        result.stderr
    );
}

#[rstest]
#[case("demo --once --fail-pool weather", "use one of: crew-roster")]
#[case("demo --once --deployment harbour", "use roadside or airport")]
fn a_name_that_is_not_there_exits_with_2(#[case] arguments: &str, #[case] remedy: &str) {
    let result = CommandTest::new(arguments).run();
    assert_eq!(result.code, 2);
    assert!(result.stderr.contains(remedy), "{}", result.stderr);
}

#[test]
fn a_reader_that_leaves_early_is_no_failure() {
    let test = CommandTest::new("demo --once");
    let mut child = test.command().spawn().unwrap();
    let mut byte = [0];
    let mut stdout = child.stdout.take().unwrap();
    stdout.read_exact(&mut byte).unwrap();
    drop(stdout);
    let output = child.wait_with_output().unwrap();
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(0), "{stderr}");
    assert!(!stderr.contains("panicked"), "{stderr}");
}

#[test]
fn a_report_that_cannot_be_written_is_a_failure() {
    let result = CommandTest::new("demo --once").stdout_to("/dev/full").run();
    assert_eq!(result.code, 1);
    assert!(
        result.stderr.contains("can't write the report"),
        "{}",
        result.stderr
    );
}

#[rstest]
#[case("--help", "savorywalk demo --once")]
#[case("demo --help", "--fail-pool rerankers")]
#[case("serve --help", "SAVORYWALK_LOG=debug")]
#[case("check --help", "savorywalk check --settings -")]
fn help_shows_examples(#[case] arguments: &str, #[case] example: &str) {
    let result = CommandTest::new(arguments).run();
    let text = result.stdout + &result.stderr;
    assert!(text.contains(example), "{text}");
}
