use super::*;

fn register() -> ConfigurationRegister {
    let mut register = ConfigurationRegister::default();
    let command = BootstrapCommand {
        configuration_json: Bytes::from_static(
            br#"{"pools": {"encoders": {"kind": "encode"}}, "workspaces": {"north": {"share": 1}}}"#,
        ),
        author: "setup".into(),
    };
    let first = register.bootstrap(0, &command);
    assert!(matches!(first.outcome, Some(Outcome::Accepted(_))));
    register
}

fn patch(register: &mut ConfigurationRegister, id: &str, change: Change) -> Outcome {
    let command = PatchCommand {
        patch_id: id.into(),
        author: "lead".into(),
        expected_version: register.version(),
        change: Some(change),
    };
    register.patch(1, &command).outcome.unwrap()
}

fn merge(register: &mut ConfigurationRegister, id: &str, json: &'static str) -> Outcome {
    let change = Change::MergeJson(Bytes::from_static(json.as_bytes()));
    patch(register, id, change)
}

#[test]
fn a_rollback_is_a_new_version_with_the_old_content() {
    let mut register = register();
    let old = register.source().clone();
    merge(
        &mut register,
        "1",
        r#"{"workspaces": {"south": {"share": 2}}}"#,
    );
    merge(&mut register, "2", r#"{"workspaces": {"north": null}}"#);
    merge(&mut register, "3", r#"{"limits": {"max_lease_ms": 9000}}"#);
    let outcome = patch(&mut register, "4", Change::RollbackTo(1));
    assert_eq!(outcome, Outcome::Accepted(PatchAccepted { version: 5 }));
    assert_eq!(register.source(), &old);
    patch(&mut register, "5", Change::RollbackTo(4));
    assert_eq!(register.source().limits.unwrap().max_lease_ms, 9_000);
}

#[test]
fn a_rollback_beyond_the_history_or_into_the_future_is_refused() {
    let mut register = register();
    for (id, version) in [("a", 1), ("b", 2), ("c", 99)] {
        let outcome = patch(&mut register, id, Change::RollbackTo(version));
        assert!(matches!(outcome, Outcome::Invalid(_)), "{version}");
    }
}

#[test]
fn every_error_of_a_patch_is_told_and_the_version_stays() {
    let mut register = register();
    let json = r#"{"pipelines": {"brief": {"deadline_ms": 0, "stages": [
        {"name": "encode", "pool": "gone"}]}}, "models": {"m": {"pools": ["gone"]}}}"#;
    let Outcome::Invalid(invalid) = merge(&mut register, "1", json) else {
        panic!("it is wrong");
    };
    let paths: Vec<&str> = invalid.errors.iter().map(|it| it.path.as_str()).collect();
    assert_eq!(
        paths,
        [
            "pipelines.brief.deadline_ms",
            "pipelines.brief.stages[0].pool",
            "models.m.version",
            "models.m.pools[0]",
        ]
    );
    assert!(invalid.errors.iter().all(|error| !error.remedy.is_empty()));
    assert_eq!(register.version(), 1);
}

#[test]
fn a_bootstrap_counts_once() {
    let mut register = register();
    let command = BootstrapCommand {
        configuration_json: Bytes::from_static(b"{}"),
        author: "setup".into(),
    };
    let second = register.bootstrap(0, &command);
    assert!(matches!(second.outcome, Some(Outcome::Mismatch(_))));
    assert_eq!(register.source().workspaces.len(), 1);
}

#[test]
fn the_history_and_the_window_stay_bounded() {
    let mut register = register();
    for number in 0..5_000 {
        let json = format!(
            r#"{{"workspaces": {{"north": {{"share": {}}}}}}}"#,
            number + 2
        );
        patch(
            &mut register,
            &number.to_string(),
            Change::MergeJson(json.into()),
        );
    }
    let snapshot = register.snapshot();
    assert_eq!(snapshot.version, 5_001);
    assert_eq!(snapshot.history.len(), 1_024);
    assert_eq!(snapshot.memories.len(), 4_096);
    let outcome = merge(&mut register, "4999", r#"{"limits": null}"#);
    assert!(matches!(outcome, Outcome::IdConflict(_)));
    let mismatch = register.mismatch(7);
    assert!(!mismatch.complete);
}

#[test]
fn a_patch_id_must_have_a_length_within_bounds() {
    let mut register = register();
    for id in [String::new(), "i".repeat(MAX_PATCH_ID_BYTES + 1)] {
        let outcome = merge(&mut register, &id, r#"{"limits": null}"#);
        assert!(matches!(outcome, Outcome::Invalid(_)));
        assert!(register.snapshot().memories.is_empty());
    }
}
