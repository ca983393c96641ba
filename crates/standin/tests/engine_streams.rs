//! Streams of the engine: numbered events, resuming, cancelling, batching.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::{Method, StatusCode};
use savorywalk_standin::{EndpointFault, StandinOptions};
use support::*;

const PROMPT: &str = "one two three four";
const NEVER: Duration = Duration::from_secs(3_600);

#[tokio::test]
async fn a_stream_numbers_its_events_from_zero_and_ends_with_its_marker() {
    let server = start(engine()).await;
    let response = post(&server, "/v1/completions", &completion(PROMPT)).await;
    let text = text(response).await.unwrap();
    assert_eq!(offsets(&text), [0, 1, 2, 3, 4, 5]);
    assert_eq!(events(&text).last(), Some(&"[DONE]"));
    assert_eq!(server.counts().ran(), 1);
}

#[tokio::test]
async fn a_cut_stream_resumes_at_its_offset_with_the_same_events() {
    let server = start(engine()).await;
    let whole = post(&server, "/v1/completions", &completion(PROMPT)).await;
    let whole = text(whole).await.unwrap();
    server.faults().set(EndpointFault::Cut);
    let broken = post(&server, "/v1/completions", &completion(PROMPT)).await;
    let id = stream_id(&broken);
    assert!(text(broken).await.is_err());
    let path = format!("/v1/completions/streams/{id}?offset=3");
    let call = request(
        &server,
        Method::GET,
        &path,
        &[("savorywalk-attempt", "r/0/1")],
        &serde_json::Value::Null,
    );
    let resumed = client().request(call).await.unwrap();
    assert_eq!(resumed.headers()["savorywalk-attempt"], "r/0/1");
    let resumed = text(resumed).await.unwrap();
    assert_eq!(events(&resumed), events(&whole)[3..]);
}

#[tokio::test]
async fn a_stream_that_is_unknown_is_refused_by_kind() {
    let server = start(engine()).await;
    for id in ["engine-1.7", "engine-2.0", "nonsense"] {
        let path = format!("/v1/completions/streams/{id}?offset=0");
        let response = get(&server, &path).await;
        assert_eq!(response.status(), StatusCode::NOT_FOUND);
        let body = json_body(response).await;
        assert_eq!(body["error"]["kind"], "unknown_stream");
    }
}

#[tokio::test]
async fn a_cancelled_stream_frees_its_slot_and_is_forgotten() {
    let options = StandinOptions {
        slots: 1,
        time_per_token: NEVER,
        resume_window: NEVER,
        ..engine()
    };
    let server = start(options).await;
    let first = post(&server, "/v1/completions", &completion(PROMPT)).await;
    until("one runs", || server.load().running == 1).await;
    let second = post(&server, "/v1/completions", &completion(PROMPT)).await;
    until("one waits", || server.load().queued == 1).await;
    for response in [&second, &first] {
        let path = format!("/v1/completions/streams/{}", stream_id(response));
        assert_eq!(delete(&server, &path).await, StatusCode::NO_CONTENT);
        assert_eq!(get(&server, &path).await.status(), StatusCode::NOT_FOUND);
    }
    assert_eq!((server.load().running, server.load().queued), (0, 0));
    assert!(text(first).await.is_err());
    assert_eq!(server.counts().ran(), 0);
}

#[tokio::test]
async fn a_stream_without_a_reader_is_cancelled_once_its_window_is_over() {
    let options = StandinOptions {
        time_per_token: NEVER,
        resume_window: Duration::ZERO,
        ..engine()
    };
    let server = start(options).await;
    let response = post(&server, "/v1/completions", &completion(PROMPT)).await;
    until("it runs", || server.load().running == 1).await;
    drop(response);
    until("it was cancelled", || server.load().running == 0).await;
}

#[tokio::test]
async fn a_full_queue_refuses_as_not_run() {
    let options = StandinOptions {
        slots: 1,
        queue_limit: 0,
        time_per_token: NEVER,
        ..engine()
    };
    let server = start(options).await;
    let _first = post(&server, "/v1/completions", &completion(PROMPT)).await;
    until("it runs", || server.load().running == 1).await;
    let refused = post(&server, "/v1/completions", &completion(PROMPT)).await;
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(json_body(refused).await["error"]["kind"], "not_run");
    assert_eq!(server.runs().repeated(), Vec::<String>::new());
}

#[tokio::test]
async fn events_arrive_as_they_are_made() {
    let options = StandinOptions {
        time_per_token: Duration::from_millis(20),
        ..engine()
    };
    let server = start(options).await;
    let mut response = post(&server, "/v1/completions", &completion(PROMPT)).await;
    let mut pieces = 0;
    while let Some(frame) = response.frame().await {
        pieces += usize::from(frame.unwrap().is_data());
    }
    assert!(pieces > 1, "the stream came in one piece");
}

#[tokio::test]
async fn a_model_that_is_not_loaded_is_refused_as_not_run() {
    let options = StandinOptions {
        model: "dispatch-8b".into(),
        ..engine()
    };
    let server = start(options).await;
    let mut body = completion(PROMPT);
    body["model"] = "other".into();
    let refused = post(&server, "/v1/completions", &body).await;
    assert_eq!(json_body(refused).await["error"]["kind"], "not_run");
    body["model"] = "dispatch-8b".into();
    let taken = post(&server, "/v1/completions", &body).await;
    assert_eq!(taken.status(), StatusCode::OK);
}
