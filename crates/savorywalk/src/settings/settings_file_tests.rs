use super::*;

const ENTRY: &str = "
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
";

fn errors(text: &str) -> Vec<String> {
    let report = parse(text).expect_err("the settings are wrong");
    report.errors.iter().map(ToString::to_string).collect()
}

#[test]
fn a_small_file_takes_defaults() {
    let settings = parse(ENTRY).unwrap();
    assert_eq!(settings.node.unwrap().roles, ["entry"]);
    assert_eq!(settings.entry.unwrap().routing, "adaptive");
    assert_eq!(settings.callers.unwrap().max_body_bytes, 1_048_576);
}

#[test]
fn every_error_is_named_at_once() {
    let text = "
stray = 1
[node]
name = entry-1
roles = entry, king
[callers]
address = localhost:80
certificate = a.pem
max_connections = none
[entry]
routing = lucky
rooting = lucky
[weather]
sky = blue
[log]
level = loud
";
    insta::assert_snapshot!(errors(text).join("\n"));
}

#[test]
fn a_role_names_the_sections_it_needs() {
    let text = "[node]\nname = c\ndata_center = bole\nroles = control\n";
    insta::assert_snapshot!(errors(text).join("\n"));
}

#[test]
fn text_that_is_not_ini_is_a_syntax_error() {
    assert!(errors("[node\nname")[0].contains("not valid INI"));
}

#[test]
fn the_reference_names_every_key() {
    let reference = key_reference();
    for key in SETTING_KEYS {
        assert!(reference.contains(key.name), "{} is missing", key.name);
    }
}

#[test]
fn links_need_files_and_names_that_certificates_can_hold() {
    let text = "
[node]
name = Entry 1
data_center = bole
[callers]
address = 127.0.0.1:0
[operators]
address = 127.0.0.1:0
[endpoints]
address = 127.0.0.1:0
[link]
address = here
seeds = control-1
key = entry-1.key
";
    insta::assert_snapshot!(errors(text).join("\n"));
}
