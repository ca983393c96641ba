//! Endpoints that misbehave, met by the real program over real sockets: no
//! answer is lost, cut, doubled or crossed, and what may not be repeated runs
//! at most once.

#![allow(clippy::unwrap_used, reason = "test code: a failure should panic")]

mod support;

use rstest::rstest;
use savorywalk_standin::EndpointFault;
use support::endpoint_set::EndpointSet;
use support::held_engine::HeldEngine;
use support::http_call::{HttpAnswer, HttpCall, ListenerKind};
use support::serve_test::{ServeProcess, ServeTest};

use EndpointFault::{Crossed, Cut, CutShort, Fail, Late, Refuse, Silent, Slow, Twice, Unframed};

/// Longer than any deadline here.
const NEVER_MS: u64 = 3_600_000;
const REQUESTS: usize = 6;
const SUMMARISE: [(&str, usize); 4] = [
    ("encoders", 2),
    ("retrievers", 2),
    ("rerankers", 2),
    ("engines", 2),
];
const BOOK: [(&str, usize); 2] = [("engines", 1), ("dispatch-application", 1)];

/// Kinds that an idempotent request may end with when its time runs out.
const OUT_OF_TIME: [&str; 2] = ["deadline_exceeded", "not_run"];

async fn start(pools: &[(&str, usize)]) -> (ServeProcess, EndpointSet) {
    let daemon = ServeTest::new().start();
    let set = EndpointSet::start(&daemon, pools).await;
    (daemon, set)
}

fn summarise(daemon: &ServeProcess, number: usize) -> HttpCall {
    let body = format!("{{\"input\": \"caller {number} at kilometre 61\"}}");
    daemon.post("summarise").body(body)
}

/// The answer is whole and for this very caller.
fn assert_own_answer(answer: &HttpAnswer, number: usize) {
    assert_eq!(answer.status, 200, "{}", answer.body);
    let text = answer.json()["answer"].as_str().unwrap().trim().to_string();
    assert_eq!(text, format!("In short: caller {number} at kilometre 61"));
}

fn kind(answer: &HttpAnswer) -> String {
    answer.json()["error"]["kind"].as_str().unwrap().to_string()
}

#[rstest]
#[tokio::test]
async fn a_fault_that_shows_at_once_costs_no_answer(
    #[values("encoders", "retrievers", "rerankers", "engines")] pool: &str,
    #[values(Refuse, Fail, Cut, CutShort, Unframed, Crossed, Twice)] fault: EndpointFault,
) {
    let (daemon, set) = start(&SUMMARISE).await;
    set.fault(pool, fault);
    for number in 0..REQUESTS {
        assert_own_answer(&summarise(&daemon, number).send().await, number);
    }
}

#[rstest]
#[tokio::test]
async fn a_fault_that_takes_all_the_time_is_told_in_time(
    #[values("encoders", "retrievers", "rerankers", "engines")] pool: &str,
    #[values(Silent, Late(NEVER_MS))] fault: EndpointFault,
) {
    let (daemon, set) = start(&SUMMARISE.map(|(pool, _)| (pool, 1))).await;
    set.fault(pool, fault);
    let call = summarise(&daemon, 1).header("savorywalk-deadline-ms", "300");
    let answer = call.send().await;
    assert!(
        OUT_OF_TIME.contains(&kind(&answer).as_str()),
        "{}",
        answer.body
    );
    set.fault(pool, EndpointFault::None);
    daemon.assert_up().await;
}

#[tokio::test]
async fn an_endpoint_ten_times_slower_costs_no_answer() {
    let (daemon, set) = start(&SUMMARISE).await;
    set.fault("engines", Slow(10.0));
    for number in 0..REQUESTS {
        assert_own_answer(&summarise(&daemon, number).send().await, number);
    }
}

#[rstest]
#[case(EndpointFault::None, "")]
#[case(Twice, "outcome_unknown")]
#[case(Refuse, "stage_failed")]
#[case(Fail, "outcome_unknown")]
#[case(Cut, "outcome_unknown")]
#[case(CutShort, "outcome_unknown")]
#[case(Unframed, "outcome_unknown")]
#[case(Crossed, "outcome_unknown")]
#[case(Silent, "outcome_unknown")]
#[case(Late(NEVER_MS), "outcome_unknown")]
#[tokio::test]
async fn a_booking_runs_at_most_once_and_the_error_says_what_is_known(
    #[case] fault: EndpointFault,
    #[case] expected: &str,
) {
    let (daemon, set) = start(&BOOK).await;
    set.fault("dispatch-application", fault);
    let call = daemon
        .post("book-tow")
        .header("savorywalk-deadline-ms", "1500");
    let answer = call.send().await;
    let booked = set.runs(answer.header("savorywalk-request"), 1);
    assert!(booked <= 1, "ran {booked} times");
    let reached = set.servers()[1].counts().seen() > 0;
    match expected {
        "" => assert_eq!((answer.status, booked), (200, 1), "{}", answer.body),
        // Under a heavy load the time may be over before the booking is sent.
        "outcome_unknown" if !reached => assert_eq!(kind(&answer), "deadline_exceeded"),
        expected => assert_eq!(kind(&answer), expected, "{}", answer.body),
    }
}

#[rstest]
#[case(Fail)]
#[case(Cut)]
#[case(Crossed)]
#[tokio::test]
async fn a_request_marked_non_idempotent_repeats_no_stage(#[case] fault: EndpointFault) {
    let (daemon, set) = start(&SUMMARISE).await;
    for pool in ["encoders", "retrievers", "rerankers", "engines"] {
        set.fault(pool, fault);
    }
    for number in 0..REQUESTS {
        let call = summarise(&daemon, number).header("savorywalk-idempotent", "false");
        let answer = call.send().await;
        let id = answer.header("savorywalk-request").to_string();
        for stage in 0..4 {
            assert!(set.runs(&id, stage) <= 1, "stage {stage} ran again");
        }
        if answer.status == 200 {
            assert_own_answer(&answer, number);
        } else {
            assert_eq!(kind(&answer), "outcome_unknown", "{}", answer.body);
        }
    }
}

#[rstest]
#[case(Refuse)]
#[case(Fail)]
#[case(Cut)]
#[case(Twice)]
#[tokio::test]
async fn a_stream_ends_with_its_whole_answer_or_an_error(#[case] fault: EndpointFault) {
    let (daemon, set) = start(&SUMMARISE).await;
    set.fault("engines", fault);
    for number in 0..REQUESTS {
        let call = summarise(&daemon, number).header("accept", "text/event-stream");
        let events = call.send().await.body;
        let last = events.trim_end().rsplit("\n\n").next().unwrap();
        let (name, data) = last.split_once("\ndata: ").unwrap();
        let data: serde_json::Value = serde_json::from_str(data).unwrap();
        match name {
            "event: answer" => assert_eq!(pieces(&events), data["answer"], "{events}"),
            "event: error" => assert!(data["error"]["kind"].is_string(), "{events}"),
            other => panic!("{other} is no last event"),
        }
    }
}

/// Text of all token events.
fn pieces(events: &str) -> String {
    let tokens = events
        .split("\n\n")
        .filter_map(|event| event.strip_prefix("event: token\ndata: "));
    tokens
        .map(|data| {
            let data: serde_json::Value = serde_json::from_str(data).unwrap();
            data["text"].as_str().unwrap().to_string()
        })
        .collect()
}

/// With half of two pools failing for everyone at once the retry budget may run
/// out; that is told as such, and never with another caller's answer.
#[tokio::test]
async fn answers_at_once_are_never_crossed() {
    let (daemon, set) = start(&SUMMARISE).await;
    set.fault("engines", Crossed);
    set.fault("rerankers", Cut);
    let calls = (0..64).map(|number| summarise(&daemon, number).send());
    let answers = futures::future::join_all(calls).await;
    let mut answered = 0;
    for (number, answer) in answers.iter().enumerate() {
        if answer.status == 200 {
            assert_own_answer(answer, number);
            answered += 1;
        } else {
            assert_eq!(kind(answer), "stage_failed", "{}", answer.body);
        }
    }
    assert!(answered > 0);
}

#[tokio::test]
async fn endpoints_that_died_cost_no_later_answer() {
    let (daemon, set) = start(&SUMMARISE).await;
    for number in 0..REQUESTS {
        assert_own_answer(&summarise(&daemon, number).send().await, number);
    }
    for pool in ["encoders", "retrievers", "rerankers", "engines"] {
        set.first(pool).die();
    }
    for number in 0..REQUESTS {
        assert_own_answer(&summarise(&daemon, number).send().await, number);
    }
}

#[tokio::test]
async fn a_caller_who_leaves_ends_its_request() {
    let daemon = ServeTest::new().start();
    let engine = HeldEngine::start().await;
    for pool in ["engines", "crew-roster"] {
        engine.announce(&daemon, pool).await;
    }
    let call = daemon.post("draft").header("accept", "text/event-stream");
    let response = call.open().await;
    wait_for_progress(&daemon, 1).await;
    drop(response);
    wait_for_progress(&daemon, 0).await;
}

async fn wait_for_progress(daemon: &ServeProcess, count: u64) {
    loop {
        let call = daemon.call(ListenerKind::Operators, "GET", "/v1/status");
        let status = call.token("demo-operator").send().await.json();
        if status["requests_in_progress"] == count {
            return;
        }
        tokio::task::yield_now().await;
    }
}
