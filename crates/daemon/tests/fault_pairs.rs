//! Any two faults at once: pairs made from fixed seeds strike two endpoints
//! while callers send, and the checker reads the history that everyone saw.

#![allow(clippy::unwrap_used, reason = "test code: a failure should panic")]

mod support;

use std::time::Duration;

use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use savorywalk_proof::{EndpointName, GuaranteeChecker, HistoryEvent, HistoryRecord, RequestMark};
use savorywalk_standin::EndpointFault;
use support::endpoint_set::EndpointSet;
use support::http_call::HttpAnswer;
use support::serve_test::{ServeProcess, ServeTest};

use EndpointFault::{Crossed, Cut, CutShort, Fail, Late, Refuse, Silent, Slow, Twice, Unframed};

const FAULTS: [EndpointFault; 10] = [
    Slow(10.0),
    Refuse,
    Fail,
    Cut,
    CutShort,
    Unframed,
    Silent,
    Late(400),
    Twice,
    Crossed,
];
const POOLS: [(&str, usize); 3] = [
    ("engines", 2),
    ("dispatch-application", 2),
    ("crew-roster", 2),
];
/// Pipelines of the sample with the stages that they have.
const PIPELINES: [(&str, usize); 2] = [("book-tow", 2), ("draft", 2)];
const REQUESTS: usize = 12;
const DEADLINE_MS: &str = "400";

/// Two faults and the pools whose first member has them.
#[derive(Debug)]
struct FaultPair {
    strikes: [(&'static str, EndpointFault); 2],
}

impl FaultPair {
    fn generate(seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let strikes = [(); 2].map(|()| {
            let (pool, _) = POOLS.choose(&mut random).unwrap();
            (*pool, *FAULTS.choose(&mut random).unwrap())
        });
        Self { strikes }
    }
}

#[rstest]
#[tokio::test]
async fn two_faults_at_once_break_no_promise(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16)] seed: u64,
) {
    let pair = FaultPair::generate(seed);
    let daemon = ServeTest::new().start();
    let set = EndpointSet::start(&daemon, &POOLS).await;
    for (pool, fault) in pair.strikes {
        set.fault(pool, fault);
    }
    let calls = (0..REQUESTS).map(|number| send(&daemon, number));
    let mut history = Vec::new();
    for (number, answer) in futures::future::join_all(calls).await.iter().enumerate() {
        record(&mut history, &set, number, answer);
    }
    let breaches = GuaranteeChecker::check(&history);
    assert!(breaches.is_empty(), "seed {seed}, {pair:?}: {breaches:#?}");
    daemon.assert_up().await;
}

fn is_idempotent(number: usize) -> bool {
    !number.is_multiple_of(3)
}

async fn send(daemon: &ServeProcess, number: usize) -> HttpAnswer {
    let (pipeline, _) = PIPELINES[number % PIPELINES.len()];
    daemon
        .post(pipeline)
        .body(format!("{{\"input\": \"caller {number}\"}}"))
        .header("savorywalk-deadline-ms", DEADLINE_MS)
        .header("savorywalk-idempotent", &is_idempotent(number).to_string())
        .send()
        .await
}

/// What the caller was told and what the endpoints ran.
fn record(history: &mut Vec<HistoryRecord>, set: &EndpointSet, number: usize, answer: &HttpAnswer) {
    let request = RequestMark(format!("caller {number}"));
    let mut push = |event| {
        history.push(HistoryRecord {
            at: Duration::ZERO,
            event,
        });
    };
    push(HistoryEvent::Sent {
        request: request.clone(),
        idempotent: is_idempotent(number),
    });
    let id = answer.header("savorywalk-request");
    let (_, stages) = PIPELINES[number % PIPELINES.len()];
    for stage in 0..stages {
        for server in set.servers() {
            for _ in 0..server.runs().runs(&format!("{id}/{stage}")) {
                push(HistoryEvent::Received {
                    endpoint: EndpointName(server.options().name.clone()),
                    request: request.clone(),
                    stage: stage.to_string(),
                });
            }
        }
    }
    push(told(request, number, answer));
}

fn told(request: RequestMark, number: usize, answer: &HttpAnswer) -> HistoryEvent {
    let document = answer.json();
    if answer.status == 200 {
        return HistoryEvent::Answered {
            request,
            content: document["answer"].as_str().unwrap().trim().to_string(),
            expected: format!("In short: caller {number}"),
        };
    }
    match document["error"]["kind"].as_str().unwrap() {
        "not_run" => HistoryEvent::NotRun { request },
        kind => HistoryEvent::Failed {
            request,
            kind: kind.to_string(),
        },
    }
}
