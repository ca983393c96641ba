//! Endpoints that fail in every way: answers stay whole, in order and their
//! caller's own, and what may run once runs once.

#![allow(clippy::unwrap_used, reason = "test code: a failure should panic")]

mod support;

use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use rstest::rstest;
use savorywalk_standin::{
    AnnounceTarget, EndpointFault, EndpointServer, StandinKind, StandinOptions, start_announcer,
    token_for,
};
use serde_json::Value;
use support::held_engine::HeldEngine;
use support::http_call::{HttpAnswer, ListenerKind};
use support::serve_test::{ServeProcess, ServeTest};

const NEVER: Duration = Duration::from_secs(3_600);
/// Longest deadline: the tests must not depend on a fast machine.
const DEADLINE_MS: &str = "7000";
const REQUESTS: usize = 4;

/// A daemon with its endpoints.
struct AttemptTest {
    daemon: ServeProcess,
    endpoints: Vec<Arc<EndpointServer>>,
}

impl AttemptTest {
    fn start() -> Self {
        Self {
            daemon: ServeTest::new().start(),
            endpoints: Vec::new(),
        }
    }

    async fn endpoint(&mut self, options: StandinOptions) -> Arc<EndpointServer> {
        let address = ([127, 0, 0, 1], 0).into();
        let server = Arc::new(EndpointServer::start(options, address).await.unwrap());
        let target = AnnounceTarget {
            entries: vec![self.daemon.address(ListenerKind::Endpoints)],
            token: token_for("endpoint"),
            everywhere: true,
            address: None,
        };
        start_announcer(&server, target);
        self.endpoints.push(Arc::clone(&server));
        server
    }

    async fn engine(&mut self, name: &str) -> Arc<EndpointServer> {
        self.endpoint(engine(name)).await
    }

    async fn service(&mut self, pool: &str, number: u32) -> Arc<EndpointServer> {
        let options = StandinOptions {
            name: format!("{pool}-{number}"),
            pool: pool.into(),
            ..StandinOptions::default()
        };
        self.endpoint(options).await
    }

    /// Waits until the daemon knows all endpoints.
    async fn ready(&self) {
        loop {
            let call = self
                .daemon
                .call(ListenerKind::Operators, "GET", "/v1/status");
            let status = call.token(&token_for("operator")).send().await.json();
            if status["endpoints"].as_array().unwrap().len() == self.endpoints.len() {
                return;
            }
            tokio::task::yield_now().await;
        }
    }

    /// A streamed draft: its text as it came, and its last event.
    async fn draft(&self) -> (String, String) {
        let call = self.daemon.post("draft");
        let call = call.header("savorywalk-deadline-ms", DEADLINE_MS);
        let answer = call.header("accept", "text/event-stream").send().await;
        let mut text = String::new();
        let mut last = String::new();
        for event in answer.body.split("\n\n").filter(|event| !event.is_empty()) {
            let (name, data) = event.split_once('\n').unwrap();
            let data: Value = serde_json::from_str(data.strip_prefix("data: ").unwrap()).unwrap();
            match name {
                "event: token" => text.push_str(data["text"].as_str().unwrap()),
                "event: answer" => last = data["answer"].as_str().unwrap().into(),
                _ => last = data.to_string(),
            }
        }
        (text, last)
    }

    async fn book(&self, key: &str, deadline_ms: &str) -> HttpAnswer {
        let call = self.daemon.post("book-tow").header("idempotency-key", key);
        let call = call.header("savorywalk-deadline-ms", deadline_ms);
        call.send().await
    }
}

fn engine(name: &str) -> StandinOptions {
    StandinOptions {
        name: name.into(),
        kind: StandinKind::Engine,
        pool: "engines".into(),
        model: "dispatch-8b".into(),
        ..StandinOptions::default()
    }
}

/// Polls until `done` says so.
async fn until(mut done: impl FnMut() -> bool) {
    while !done() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

#[rstest]
#[case(EndpointFault::Cut)]
#[case(EndpointFault::CutShort)]
#[case(EndpointFault::Unframed)]
#[case(EndpointFault::Fail)]
#[case(EndpointFault::Refuse)]
#[case(EndpointFault::Twice)]
#[case(EndpointFault::Crossed)]
#[tokio::test]
async fn a_streamed_text_is_exact_beside_a_faulty_engine(#[case] fault: EndpointFault) {
    let mut test = AttemptTest::start();
    test.service("crew-roster", 1).await;
    let faulty = test.engine("engine-1").await;
    test.engine("engine-2").await;
    test.ready().await;
    let (_, whole) = test.draft().await;
    assert!(whole.contains("minibus at kilometre 61"), "{whole}");
    faulty.faults().set(fault);
    for _ in 0..REQUESTS {
        let (text, answer) = test.draft().await;
        assert_eq!(text, whole, "{fault:?}");
        assert_eq!(answer, whole, "{fault:?}");
    }
}

#[tokio::test]
async fn an_engine_that_dies_is_left_for_another() {
    let mut test = AttemptTest::start();
    test.service("crew-roster", 1).await;
    let dying = test.engine("engine-1").await;
    test.engine("engine-2").await;
    test.ready().await;
    let (_, whole) = test.draft().await;
    dying.die();
    for _ in 0..REQUESTS {
        assert_eq!(test.draft().await, (whole.clone(), whole.clone()));
    }
}

#[tokio::test]
async fn connections_that_went_silent_are_left_for_new_ones() {
    let mut test = AttemptTest::start();
    let booking = test.service("dispatch-application", 1).await;
    test.service("crew-roster", 1).await;
    test.engine("engine-1").await;
    test.ready().await;
    let (_, whole) = test.draft().await;
    assert_eq!(test.book("before", DEADLINE_MS).await.status, 200);
    for endpoint in &test.endpoints {
        endpoint.silence_connections();
    }
    assert_eq!(test.draft().await, (whole.clone(), whole));
    for endpoint in &test.endpoints {
        endpoint.silence_connections();
    }
    let answer = test.book("after", DEADLINE_MS).await;
    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(booking.counts().ran(), 2);
}

/// Guards against a stream that is given up because its engine was silent for a time and the
/// call that resumes it brings nothing.
#[tokio::test]
async fn a_silent_stream_goes_on_beside_a_resume_without_an_answer() {
    let daemon = ServeTest::new().start();
    let engine = HeldEngine::start_named().await;
    for pool in ["engines", "crew-roster"] {
        engine.announce(&daemon, pool).await;
    }
    let call = daemon.post("draft").header("accept", "text/event-stream");
    let call = call.header("savorywalk-deadline-ms", DEADLINE_MS);
    let mut response = call.open().await;
    response.frame().await.unwrap().unwrap();
    until(|| engine.resumes() > 0).await;
    engine.release();
    let rest = HttpAnswer::read(response).await.body;
    assert!(rest.contains("\"answer\":\"tow truck\""), "{rest}");
    assert_eq!(engine.completions(), 1, "the work was begun again");
    assert_eq!(engine.cancels(), 0, "the stream that went on was cancelled");
}

#[rstest]
#[case(EndpointFault::Fail, DEADLINE_MS)]
#[case(EndpointFault::Cut, DEADLINE_MS)]
#[case(EndpointFault::CutShort, DEADLINE_MS)]
#[case(EndpointFault::Unframed, DEADLINE_MS)]
#[case(EndpointFault::Crossed, DEADLINE_MS)]
#[case(EndpointFault::Silent, "1500")]
#[tokio::test]
async fn a_booking_that_may_have_run_is_never_sent_again(
    #[case] fault: EndpointFault,
    #[case] deadline_ms: &str,
) {
    let mut test = AttemptTest::start();
    test.engine("engine-1").await;
    let desks = [
        test.service("dispatch-application", 1).await,
        test.service("dispatch-application", 2).await,
    ];
    test.ready().await;
    for desk in &desks {
        desk.faults().set(fault);
    }
    let answer = test.book("booking-1", deadline_ms).await;
    assert_eq!(
        answer.json()["error"]["kind"],
        "outcome_unknown",
        "{}",
        answer.body
    );
    let seen: u64 = desks.iter().map(|desk| desk.counts().seen()).sum();
    assert_eq!(seen, 1, "{fault:?}");
}

#[tokio::test]
async fn a_booking_that_was_refused_goes_elsewhere_and_runs_once() {
    let mut test = AttemptTest::start();
    test.engine("engine-1").await;
    let desks = [
        test.service("dispatch-application", 1).await,
        test.service("dispatch-application", 2).await,
    ];
    test.ready().await;
    desks[0].faults().set(EndpointFault::Refuse);
    for number in 0..REQUESTS {
        let answer = test.book(&format!("booking-{number}"), DEADLINE_MS).await;
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    assert_eq!(desks[0].counts().ran(), 0);
    assert_eq!(desks[1].counts().ran(), REQUESTS as u64);
}

#[tokio::test]
async fn the_work_of_a_caller_who_leaves_is_cancelled() {
    let mut test = AttemptTest::start();
    test.service("crew-roster", 1).await;
    let options = StandinOptions {
        time_per_token: Duration::from_millis(200),
        resume_window: NEVER,
        ..engine("engine-1")
    };
    let engine = test.endpoint(options).await;
    test.ready().await;
    let call = test
        .daemon
        .post("draft")
        .header("accept", "text/event-stream");
    let call = call.body(format!("{{\"input\": \"{}\"}}", "word ".repeat(60)));
    let mut response = call.open().await;
    response.frame().await.unwrap().unwrap();
    assert_eq!(engine.load().running, 1);
    drop(response);
    until(|| engine.load().running == 0).await;
    assert_eq!(engine.counts().ran(), 0);
}
