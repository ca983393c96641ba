//! What a caller, operator or endpoint is told when a call is wrong: a typed
//! error with its remedy, from a daemon that stays up.

mod support;

use rstest::rstest;
use savorywalk_standin::token_for;
use support::http_call::{HttpCall, ListenerKind};
use support::serve_test::{ServeProcess, ServeTest};

use ListenerKind::{Callers, Endpoints, Operators};

/// Gives `status kind: message` of a call, and checks that the daemon is up.
async fn error_of(call: impl FnOnce(&ServeProcess) -> HttpCall) -> String {
    let daemon = ServeTest::new()
        .callers("max_body_bytes = 1024\nmax_header_bytes = 8192\n")
        .start();
    let error = call(&daemon).send().await.error();
    daemon.assert_up().await;
    error
}

#[rstest]
#[case("unknown_pipeline", |daemon: &ServeProcess| daemon.post("fly"))]
#[case("oversized_body", |daemon: &ServeProcess| daemon.post("brief").body("x".repeat(1025)))]
#[case("oversized_head", |daemon: &ServeProcess| daemon.post("brief").header("x-long", &"x".repeat(9000)))]
#[case("bad_json", |daemon: &ServeProcess| daemon.post("brief").body("{\"input\":"))]
#[case("no_body", |daemon: &ServeProcess| daemon.post("brief").body(""))]
#[case("unknown_field", |daemon: &ServeProcess| daemon.post("brief").body("{\"inputs\": 1}"))]
#[case("no_token", |daemon: &ServeProcess| daemon.post("brief").without("authorization"))]
#[case("unknown_token", |daemon: &ServeProcess| daemon.post("brief").token("stranger"))]
#[case("other_scheme", |daemon: &ServeProcess| daemon.post("brief").header("authorization", "Basic abc"))]
#[case("operator_token_from_a_caller", |daemon: &ServeProcess| daemon.post("brief").token(&token_for("operator")))]
#[case("endpoint_token_from_a_caller", |daemon: &ServeProcess| daemon.post("brief").token(&token_for("endpoint")))]
#[case("workspace_token_from_an_operator", |daemon: &ServeProcess| daemon.call(Operators, "GET", "/v1/status").token(&token_for("addis-dispatch")))]
#[case("endpoint_token_from_an_operator", |daemon: &ServeProcess| daemon.call(Operators, "GET", "/v1/status").token(&token_for("endpoint")))]
#[case("workspace_token_from_an_endpoint", |daemon: &ServeProcess| daemon.call(Endpoints, "POST", "/v1/endpoints").token(&token_for("addis-dispatch")))]
#[case("operator_token_from_an_endpoint", |daemon: &ServeProcess| daemon.call(Endpoints, "POST", "/v1/endpoints").token(&token_for("operator")))]
#[case("zero_deadline", |daemon: &ServeProcess| daemon.post("brief").header("savorywalk-deadline-ms", "0"))]
#[case("endless_deadline", |daemon: &ServeProcess| daemon.post("brief").header("savorywalk-deadline-ms", "99999999999999999999"))]
#[case("negative_deadline", |daemon: &ServeProcess| daemon.post("brief").header("savorywalk-deadline-ms", "-5"))]
#[case("word_as_deadline", |daemon: &ServeProcess| daemon.post("brief").header("savorywalk-deadline-ms", "soon"))]
#[case("odd_idempotence", |daemon: &ServeProcess| daemon.post("brief").header("savorywalk-idempotent", "maybe"))]
#[case("header_that_is_no_text", |daemon: &ServeProcess| daemon.post("brief").header_bytes("savorywalk-deadline-ms", "fünf".as_bytes()))]
#[case("token_that_is_no_text", |daemon: &ServeProcess| daemon.post("brief").header_bytes("authorization", "Bearer ü".as_bytes()))]
#[case("wrong_method_of_a_pipeline", |daemon: &ServeProcess| daemon.call(Callers, "GET", "/v1/pipelines/brief"))]
#[case("wrong_method_of_health", |daemon: &ServeProcess| daemon.call(Callers, "DELETE", "/healthz"))]
#[case("unknown_path_of_a_caller", |daemon: &ServeProcess| daemon.call(Callers, "GET", "/v2"))]
#[case("operators_path_at_the_callers", |daemon: &ServeProcess| daemon.call(Callers, "GET", "/v1/status").token(&token_for("operator")))]
#[case("unknown_path_of_an_endpoint", |daemon: &ServeProcess| daemon.call(Endpoints, "POST", "/v2").token(&token_for("endpoint")))]
#[case("announcement_without_fields", |daemon: &ServeProcess| daemon.call(Endpoints, "POST", "/v1/endpoints").token(&token_for("endpoint")).body("{}"))]
#[case("nobody_serves_the_first_stage", |daemon: &ServeProcess| daemon.post("brief"))]
#[tokio::test]
async fn a_wrong_call_gets_a_typed_error(
    #[case] name: &str,
    #[case] call: impl FnOnce(&ServeProcess) -> HttpCall,
) {
    insta::assert_snapshot!(name, error_of(call).await);
}

#[rstest]
#[case(Callers, "/v1/pipelines/brief", "POST")]
#[case(Operators, "/v1/config", "GET, PATCH")]
#[tokio::test]
async fn a_wrong_method_names_the_right_ones_in_a_header(
    #[case] listener: ListenerKind,
    #[case] path: &str,
    #[case] allowed: &str,
) {
    let daemon = ServeTest::new().start();
    let call = daemon.call(listener, "PUT", path);
    let answer = call.token(&token_for("operator")).send().await;
    assert_eq!((answer.status, answer.header("allow")), (405, allowed));
}

#[tokio::test]
async fn a_missing_token_names_the_scheme_in_a_header() {
    let daemon = ServeTest::new().start();
    let answer = daemon.post("brief").without("authorization").send().await;
    assert_eq!(
        (answer.status, answer.header("www-authenticate")),
        (401, "Bearer")
    );
}

#[tokio::test]
async fn a_refusal_says_when_to_come_again() {
    let daemon = ServeTest::new().start();
    let answer = daemon.post("brief").send().await;
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").parse::<u64>().unwrap() >= 1);
}

#[rstest]
#[case("bearer")]
#[case("BEARER")]
#[tokio::test]
async fn the_scheme_of_a_token_has_no_case(#[case] scheme: &str) {
    let daemon = ServeTest::new().start();
    let token = format!("{scheme} {}", token_for("operator"));
    let call = daemon.call(Operators, "GET", "/v1/status");
    assert_eq!(
        call.header("authorization", &token).send().await.status,
        200
    );
}

#[rstest]
#[tokio::test]
async fn probes_and_metrics_are_on_every_listener(
    #[values(Callers, Operators, Endpoints)] listener: ListenerKind,
    #[values("/healthz", "/readyz", "/metrics")] path: &str,
) {
    let daemon = ServeTest::new().start();
    let answer = daemon.call(listener, "GET", path).send().await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("savorywalk-request").len(), 32);
}
