//! `savorywalk check` names every error at once, with its remedy.

mod support;

use std::path::Path;

use rstest::rstest;
use support::command_test::CommandTest;

const GOOD: &str = "
[node]
name = entry-1
data_center = bole
[callers]
address = 127.0.0.1:0
[operators]
address = 127.0.0.1:0
[endpoints]
address = 127.0.0.1:0
[entry]
configuration = configuration.json
";

#[test]
fn every_error_of_the_settings_is_named() {
    let text = "
[node]
name = entry-1
roles = entry, king
[callers]
address = localhost:80
certificate = a.pem
max_connections = none
[log]
lovel = info
";
    let result = CommandTest::new("check --settings entry.ini")
        .file("entry.ini", text)
        .run();
    assert_eq!(result.code, 2);
    insta::assert_snapshot!(result.stderr);
}

#[test]
fn an_unknown_section_is_named_with_those_there_are() {
    let text = format!("{GOOD}[weather]\nsky = blue\n");
    let result = CommandTest::new("check --settings entry.ini")
        .file("entry.ini", &text)
        .run();
    assert_eq!(result.code, 2);
    assert!(result.stderr.contains("[weather] *: unknown section"));
    assert!(result.stderr.contains("use one of: node, callers"));
}

#[test]
fn every_file_that_the_settings_point_at_is_checked() {
    let text = GOOD.replace(
        "[operators]\n",
        "certificate = no.pem\nkey = no.key\n[operators]\n",
    );
    let configuration = r#"{"pipelines": {"brief": {"deadline_ms": 7000, "stages": [{"name": "encode", "pool": "nowhere"}]}}}"#;
    let result = CommandTest::new("check --settings vm/entry.ini")
        .file("vm/entry.ini", &text)
        .file("vm/configuration.json", configuration)
        .run();
    assert_eq!(result.code, 2);
    insta::assert_snapshot!(result.stderr);
}

#[test]
fn a_certificate_that_is_none_is_named() {
    let text = GOOD.replace(
        "[operators]\n",
        "certificate = a.pem\nkey = a.pem\n[operators]\n",
    );
    let result = CommandTest::new("check --settings entry.ini")
        .file("entry.ini", &text)
        .file("configuration.json", "{}")
        .file("a.pem", "not a certificate")
        .run();
    assert_eq!(result.code, 2);
    insta::assert_snapshot!(result.stderr);
}

#[test]
fn a_relative_path_starts_at_the_folder_of_the_settings() {
    let result = CommandTest::new("check --settings vm/entry.ini")
        .file("vm/entry.ini", GOOD)
        .file("vm/configuration.json", "{}")
        .run();
    assert_eq!(result.code, 0, "{}", result.stderr);
    assert_eq!(result.stdout, "vm/entry.ini: no errors\n");
}

#[rstest]
#[case("check --settings none.ini", "can't read none.ini")]
#[case("serve --settings none.ini", "can't read none.ini")]
#[case("serve --settings entry.ini", "[entry] configuration")]
#[case("check", "--settings")]
#[case("fly", "fly")]
fn what_the_user_wrote_wrong_exits_with_2(#[case] arguments: &str, #[case] message: &str) {
    let result = CommandTest::new(arguments).file("entry.ini", GOOD).run();
    assert_eq!(result.code, 2);
    assert!(result.stderr.contains(message), "{}", result.stderr);
}

#[test]
fn the_reference_lists_every_key() {
    let result = CommandTest::new("check --settings -").run();
    assert_eq!(result.code, 0);
    for key in savorywalk::settings::SETTING_KEYS {
        assert!(result.stdout.contains(key.name), "{} is missing", key.name);
    }
}

#[rstest]
fn every_sample_passes(
    #[values("roadside", "airport")] deployment: &str,
    #[values(1, 2, 3, 4, 5, 6)] number: u32,
) {
    let samples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../samples");
    let file = samples.join(deployment).join(format!("entry-{number}.ini"));
    let result = CommandTest::new(&format!("check --settings {}", file.display())).run();
    assert_eq!(result.code, 0, "{}", result.stderr);
}
