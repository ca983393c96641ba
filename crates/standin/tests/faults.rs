//! Each fault of a stand-in, as a caller of it sees it.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::time::Duration;

use hyper::{Method, StatusCode};
use rstest::rstest;
use savorywalk_standin::{EndpointFault, StandinKind, StandinOptions};
use serde_json::{Value, json};
use support::*;

fn service() -> StandinOptions {
    StandinOptions {
        kind: StandinKind::Service,
        ..StandinOptions::default()
    }
}

#[rstest]
#[case::none(EndpointFault::None, 200, 1)]
#[case::slow(EndpointFault::Slow(3.0), 200, 1)]
#[case::refuse(EndpointFault::Refuse, 503, 0)]
#[case::fail(EndpointFault::Fail, 500, 1)]
#[case::late(EndpointFault::Late(5), 200, 1)]
#[tokio::test]
async fn a_fault_shows_in_the_status_and_in_what_ran(
    #[case] fault: EndpointFault,
    #[case] status: u16,
    #[case] ran: u64,
) {
    for options in [service(), engine()] {
        let server = start(options).await;
        server.faults().set(fault);
        let response = post(&server, "/v1/completions", &completion("a b")).await;
        assert_eq!(response.status().as_u16(), status);
        assert!(text(response).await.is_ok());
        assert_eq!(server.counts().ran(), ran);
    }
}

#[tokio::test]
async fn an_answer_is_cut_with_an_error_or_without() {
    for options in [service(), engine()] {
        let server = start(options).await;
        let whole = post(&server, "/v1/completions", &completion("a b")).await;
        let whole = text(whole).await.unwrap();
        server.faults().set(EndpointFault::Cut);
        let cut = post(&server, "/v1/completions", &completion("a b")).await;
        assert!(text(cut).await.is_err());
        server.faults().set(EndpointFault::CutShort);
        let short = post(&server, "/v1/completions", &completion("a b")).await;
        let short = text(short).await.unwrap();
        assert!(short.len() < whole.len() && whole.starts_with(&short));
        server.faults().set(EndpointFault::Unframed);
        let unframed = post(&server, "/v1/completions", &completion("a b")).await;
        for header in ["content-length", "transfer-encoding"] {
            assert!(!unframed.headers().contains_key(header), "{header}");
        }
        let short = text(unframed).await.unwrap();
        assert!(short.len() < whole.len() && whole.starts_with(&short));
    }
}

#[tokio::test]
async fn an_answer_comes_twice() {
    let server = start(service()).await;
    server.faults().set(EndpointFault::Twice);
    let body = text(post(&server, "/v1/lookup", &json!({})).await)
        .await
        .unwrap();
    let (first, second) = body.split_at(body.len() / 2);
    assert_eq!(first, second);
    let server = start(engine()).await;
    server.faults().set(EndpointFault::Twice);
    let body = text(post(&server, "/v1/completions", &completion("a")).await).await;
    assert_eq!(offsets(&body.unwrap()), [0, 0, 1, 1, 2, 2]);
}

#[tokio::test]
async fn the_attempt_is_echoed_or_crossed() {
    for options in [service(), engine()] {
        let server = start(options).await;
        for (fault, echo) in [
            (EndpointFault::None, "r/1/0"),
            (EndpointFault::Crossed, "another/0/0"),
        ] {
            server.faults().set(fault);
            let headers = [("savorywalk-attempt", "r/1/0")];
            let body = completion("a");
            let call = request(&server, Method::POST, "/v1/completions", &headers, &body);
            let response = client().request(call).await.unwrap();
            assert_eq!(response.headers()["savorywalk-attempt"], echo);
        }
    }
}

#[tokio::test]
async fn a_silent_request_is_seen_and_never_answered_while_others_are() {
    let server = start(service()).await;
    server.faults().set(EndpointFault::Silent);
    let body = json!({});
    let call = request(&server, Method::POST, "/v1/lookup", &[], &body);
    let silent = tokio::spawn(client().request(call));
    until("it was seen", || server.counts().seen() == 1).await;
    server.faults().set(EndpointFault::None);
    let other = post(&server, "/v1/lookup", &json!({})).await;
    assert_eq!(other.status(), StatusCode::OK);
    assert!(!silent.is_finished());
    silent.abort();
}

#[tokio::test]
async fn open_connections_go_silent_for_good_while_new_ones_work() {
    let server = start(service()).await;
    let old = client();
    let call = || request(&server, Method::POST, "/v1/lookup", &[], &json!({}));
    let answer = old.request(call()).await.unwrap();
    text(answer).await.unwrap();
    server.silence_connections();
    let silent = tokio::spawn(old.request(call()));
    let other = post(&server, "/v1/lookup", &json!({})).await;
    assert_eq!(other.status(), StatusCode::OK);
    assert_eq!(server.counts().seen(), 2, "the old connection was not read");
    assert!(!silent.is_finished());
    silent.abort();
}

#[tokio::test]
async fn a_stand_in_that_dies_breaks_its_connections_and_refuses_new_ones() {
    let options = StandinOptions {
        base_time: Duration::from_secs(3_600),
        ..service()
    };
    let server = start(options).await;
    let body = json!({});
    let call = request(&server, Method::POST, "/v1/lookup", &[], &body);
    let open = tokio::spawn(client().request(call));
    until("it was seen", || server.counts().seen() == 1).await;
    server.die();
    assert!(open.await.unwrap().is_err());
    let refused = async {
        while tokio::net::TcpStream::connect(server.address())
            .await
            .is_ok()
        {}
    };
    tokio::time::timeout(WAIT_TIMEOUT, refused).await.unwrap();
}

#[tokio::test]
async fn faults_are_switched_over_http() {
    let server = start(service()).await;
    for (body, fault) in [
        (
            json!({"kind": "slow", "value": 10.0}),
            EndpointFault::Slow(10.0),
        ),
        (json!({"kind": "late", "value": 5}), EndpointFault::Late(5)),
        (json!({"kind": "cut_short"}), EndpointFault::CutShort),
        (json!({"kind": "none"}), EndpointFault::None),
    ] {
        let response = post(&server, "/standin/fault", &body).await;
        assert_eq!(response.status(), StatusCode::NO_CONTENT);
        assert_eq!(server.faults().get(), fault);
    }
    let wrong = post(&server, "/standin/fault", &json!({"kind": "odd"})).await;
    assert_eq!(wrong.status(), StatusCode::BAD_REQUEST);
}

#[tokio::test]
async fn a_test_can_ask_how_often_a_request_ran() {
    let server = start(service()).await;
    for (key, attempt) in [("k1", "r1/2/0"), ("k1", "r1/2/1"), ("k2", "r2/2/0")] {
        let headers = [("idempotency-key", key), ("savorywalk-attempt", attempt)];
        let body = json!({});
        let call = request(&server, Method::POST, "/v1/tows", &headers, &body);
        client().request(call).await.unwrap();
    }
    for (name, runs) in [("k1", 2), ("r1/2", 2), ("k2", 1), ("r2/2", 1), ("r3/2", 0)] {
        assert_eq!(server.runs().runs(name), runs, "{name}");
    }
    let mut repeated = server.runs().repeated();
    repeated.sort();
    assert_eq!(repeated, ["k1", "r1/2"]);
    let told: Value = json_body(get(&server, "/standin/runs?name=k1").await).await;
    assert_eq!(told["runs"], 2);
}

#[tokio::test]
async fn a_pool_worker_has_slots_and_a_bounded_queue() {
    let options = StandinOptions {
        slots: 1,
        queue_limit: 1,
        base_time: Duration::from_secs(3_600),
        ..service()
    };
    let server = start(options).await;
    let body = json!({});
    let call = || request(&server, Method::POST, "/v1/lookup", &[], &body);
    let running = tokio::spawn(client().request(call()));
    until("one runs", || server.load().running == 1).await;
    let waiting = tokio::spawn(client().request(call()));
    until("one waits", || server.load().queued == 1).await;
    let refused = client().request(call()).await.unwrap();
    assert_eq!(json_body(refused).await["error"]["kind"], "not_run");
    assert_eq!((server.load().running, server.load().queued), (1, 1));
    running.abort();
    waiting.abort();
}
