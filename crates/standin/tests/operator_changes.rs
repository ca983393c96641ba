//! Operators change the configuration over real sockets.

mod deployment;

use std::collections::BTreeMap;

use deployment::{TestDeployment, TestRequest};
use hyper::Method;
use savorywalk::audit::{AuditRecord, verify_chain};
use savorywalk_standin::token_for;
use serde_json::{Value, json};

fn patch(version: u64, id: &str, share: u32) -> TestRequest {
    let body = json!({"workspaces": {"mojo-branch": {"share": share}}});
    TestRequest::operator(Method::PATCH, "/v1/config")
        .header("if-match", &format!("\"{version}\""))
        .header("idempotency-key", id)
        .body(&body.to_string())
}

fn get(path: &str) -> TestRequest {
    TestRequest::operator(Method::GET, path)
}

#[tokio::test]
async fn of_operators_who_patch_one_version_exactly_one_wins() {
    let deployment = TestDeployment::start().await;
    let sends = (10..18).map(|share| deployment.send(patch(1, &share.to_string(), share)));
    let replies = futures::future::join_all(sends).await;
    let mut counts = BTreeMap::new();
    for reply in &replies {
        *counts.entry(reply.status).or_insert(0) += 1;
    }
    assert_eq!(counts, BTreeMap::from([(200, 1), (412, 7)]));
    let winner = replies.iter().position(|it| it.status == 200).unwrap();
    let loser = replies.iter().find(|it| it.status == 412).unwrap();
    let error = &loser.body["error"];
    assert_eq!(error["kind"], "version_mismatch");
    assert_eq!(error["details"]["current_version"], 2);
    let change = &error["details"]["changes"][0];
    assert_eq!(change["patch_id"], json!((10 + winner).to_string()));
    assert_eq!(change["paths"], json!(["workspaces.mojo-branch.share"]));
    let now = deployment.send(get("/v1/config")).await;
    assert_eq!(now.etag.as_deref(), Some("\"2\""));
    let share = &now.body["workspaces"]["mojo-branch"]["share"];
    assert_eq!(share, &json!(10 + winner));
}

#[tokio::test]
async fn a_resent_patch_gets_its_first_answer_also_after_later_ones() {
    let deployment = TestDeployment::start().await;
    let first = deployment.send(patch(1, "a", 5)).await;
    assert_eq!(first.status, 200, "{first:?}");
    deployment.send(patch(2, "b", 6)).await;
    assert_eq!(deployment.send(patch(1, "a", 5)).await, first);
    let other = deployment.send(patch(3, "a", 9)).await;
    assert_eq!(other.status, 409);
    assert_eq!(other.body["error"]["kind"], "patch_id_conflict");
}

#[tokio::test]
async fn a_patch_must_name_a_version_and_make_a_right_configuration() {
    let deployment = TestDeployment::start().await;
    for value in [None, Some("*")] {
        let mut request = TestRequest::operator(Method::PATCH, "/v1/config").body("{}");
        if let Some(value) = value {
            request = request.header("if-match", value);
        }
        let reply = deployment.send(request).await;
        assert_eq!(reply.status, 428);
        assert_eq!(reply.body["error"]["kind"], "version_required");
    }
    let wrong = json!({"pipelines": {"brief": {"deadline_ms": 0, "stages": []}}});
    let wrong = patch(1, "wrong", 1).body(&wrong.to_string());
    let reply = deployment.send(wrong).await;
    assert_eq!(reply.status, 422);
    let errors = reply.body["error"]["details"]["errors"].as_array().unwrap();
    let paths: Vec<&Value> = errors.iter().map(|error| &error["path"]).collect();
    assert_eq!(
        paths,
        ["pipelines.brief.deadline_ms", "pipelines.brief.stages"]
    );
    let now = deployment.send(get("/v1/config")).await;
    assert_eq!(now.etag.as_deref(), Some("\"1\""));
}

#[tokio::test]
async fn only_an_operators_token_is_good_for_changes() {
    let deployment = TestDeployment::start().await;
    for path in ["/v1/config/history", "/v1/audit", "/v1/status"] {
        let mut request = get(path);
        request.token = token_for("addis-dispatch");
        assert_eq!(deployment.send(request).await.status, 401, "{path}");
    }
    let mut request = patch(1, "a", 5);
    request.token = token_for("addis-dispatch");
    assert_eq!(deployment.send(request).await.status, 401);
}

#[tokio::test]
async fn a_rollback_is_a_new_version_and_every_change_is_in_the_audit_trail() {
    let deployment = TestDeployment::start().await;
    deployment.send(patch(1, "a", 5)).await;
    deployment.send(patch(2, "b", 6)).await;
    deployment.send(patch(1, "late", 7)).await;
    let rollback = TestRequest::operator(Method::POST, "/v1/config/rollback")
        .header("if-match", "\"3\"")
        .body(r#"{"to": 1}"#);
    let reply = deployment.send(rollback).await;
    assert_eq!(reply.body, json!({"version": 4}), "{reply:?}");
    let now = deployment.send(get("/v1/config")).await;
    assert_eq!(now.body["workspaces"]["mojo-branch"]["share"], 1);

    let history = deployment.send(get("/v1/config/history?after=2")).await;
    let changes = history.body["changes"].as_array().unwrap();
    let versions: Vec<&Value> = changes.iter().map(|it| &it["version"]).collect();
    assert_eq!(versions, [3, 4]);

    let audit = deployment.send(get("/v1/audit")).await;
    let records: Vec<AuditRecord> = serde_json::from_value(audit.body["records"].clone()).unwrap();
    verify_chain(0, "", &records).unwrap();
    let outcomes: Vec<&str> = records.iter().map(|it| it.outcome.as_str()).collect();
    assert_eq!(outcomes, ["accepted", "accepted", "refused", "accepted"]);
    assert!(records.iter().all(|record| record.author == "operator"));

    let status = deployment.send(get("/v1/status")).await;
    assert_eq!(status.body["control"]["version"], 4);
    assert_eq!(status.body["control_mode"], "sole, persisted nowhere");
    let bad = deployment.send(get("/v1/audit?limit=many")).await;
    assert_eq!(bad.status, 400);
}
