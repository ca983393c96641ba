use super::*;
use crate::configuration::digest_hex;

fn report(json: &str) -> String {
    let source = configuration_from_json(json.as_bytes()).unwrap();
    let report = ConfigurationSnapshot::build(1, source).unwrap_err();
    let lines: Vec<String> = report.errors.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

#[test]
fn every_error_has_its_path_and_remedy() {
    insta::assert_snapshot!(report(
        r#"{
            "pools": {"encoders": {"kind": "encode"}, "bad name": {}},
            "pipelines": {"brief": {"deadline_ms": 0, "stages": [
                {"name": "encode", "pool": "encoders"},
                {"name": "encode", "pool": "nowhere"}
            ]}},
            "workspaces": {"north": {"pipelines": ["gone"], "token_sha256": ["12"]}}
        }"#
    ));
}

#[test]
fn a_token_of_two_owners_is_refused() {
    let digest = digest_hex("shared");
    let json = format!(
        r#"{{"workspaces": {{"north": {{"token_sha256": ["{digest}"]}}}},
            "operators": {{"lead": {{"token_sha256": ["{digest}"]}}}}}}"#
    );
    assert!(report(&json).starts_with("operators.lead.token_sha256[0]"));
}

#[test]
fn each_credential_is_good_for_its_own_kind_alone() {
    let json = format!(
        r#"{{"workspaces": {{"north": {{"token_sha256": ["{}"]}}}},
            "operators": {{"lead": {{"token_sha256": ["{}"]}}}}}}"#,
        digest_hex("caller"),
        digest_hex("operator"),
    );
    let source = configuration_from_json(json.as_bytes()).unwrap();
    let snapshot = ConfigurationSnapshot::build(1, source).unwrap();
    assert_eq!(snapshot.workspace_of("caller").unwrap().name, "north");
    assert_eq!(snapshot.operator_of("operator"), Some("lead"));
    assert!(snapshot.workspace_of("operator").is_none());
    assert!(snapshot.operator_of("caller").is_none());
    assert!(snapshot.endpoint_credential_of("caller").is_none());
}

#[test]
fn an_unknown_field_is_refused_by_name() {
    let error = configuration_from_json(br#"{"piplines": {}}"#).unwrap_err();
    assert!(error.to_string().contains("piplines"));
}
