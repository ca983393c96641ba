//! Each promise is broken by a history of its own, and each history without
//! its fault passes: a checker that finds nothing would prove nothing.

use rstest::rstest;

use super::*;

fn request() -> RequestMark {
    RequestMark("booking-1".into())
}

fn endpoint(name: &str) -> EndpointName {
    EndpointName(name.into())
}

fn entry() -> EntryName {
    EntryName("entry-1".into())
}

fn sent(idempotent: bool) -> HistoryEvent {
    let request = request();
    HistoryEvent::Sent {
        request,
        idempotent,
    }
}

fn answered(content: &str) -> HistoryEvent {
    HistoryEvent::Answered {
        request: request(),
        content: content.into(),
        expected: "whole".into(),
    }
}

fn received(name: &str) -> HistoryEvent {
    HistoryEvent::Received {
        endpoint: endpoint(name),
        request: request(),
        stage: "book".into(),
    }
}

fn served(version: u64) -> HistoryEvent {
    let entry = entry();
    HistoryEvent::VersionServed { entry, version }
}

fn acknowledged(version: u64, patch: &str) -> HistoryEvent {
    let patch = patch.into();
    HistoryEvent::PatchAcknowledged { version, patch }
}

fn kept(version: u64, patch: &str) -> HistoryEvent {
    let patch = patch.into();
    HistoryEvent::VersionKept { version, patch }
}

fn ordered(term: u64, index: u64) -> HistoryEvent {
    HistoryEvent::OrderExecuted {
        endpoint: endpoint("engine-1"),
        fencing: (term, index),
    }
}

/// Records the events a second apart and names the breaches.
fn breaches(events: Vec<HistoryEvent>) -> Vec<String> {
    let records = events.into_iter().enumerate().map(|(second, event)| {
        let at = Duration::from_secs(second as u64);
        HistoryRecord { at, event }
    });
    let history: Vec<HistoryRecord> = records.collect();
    let found = GuaranteeChecker::check(&history);
    let shown = found.iter().map(|breach| format!("{breach:?}"));
    shown
        .map(|text| {
            text.split_whitespace()
                .next()
                .unwrap_or_default()
                .to_string()
        })
        .collect()
}

#[rstest]
#[case::answered(vec![sent(true), received("a"), received("b"), answered("whole")])]
#[case::refused(vec![sent(true), HistoryEvent::NotRun { request: request() }])]
#[case::refused_then_run(vec![sent(false), HistoryEvent::NotRun { request: request() }, sent(false), received("a"), answered("whole")])]
#[case::resent_booking(vec![sent(false), received("a"), sent(false), answered("whole"), answered("whole")])]
#[case::killed_entry(vec![sent(true), HistoryEvent::Cut { request: request(), entry: entry() }])]
#[case::killed_after_a_restart(vec![sent(true), HistoryEvent::StopRequested { entry: entry() }, HistoryEvent::Started { entry: entry() }, HistoryEvent::Cut { request: request(), entry: entry() }])]
#[case::unreached_entry(vec![sent(true), HistoryEvent::StopRequested { entry: entry() }, HistoryEvent::Unreached { request: request() }])]
#[case::late_leaver(vec![HistoryEvent::Leaving { endpoint: endpoint("a") }, sent(true), received("a"), answered("whole")])]
#[case::returned(vec![HistoryEvent::Leaving { endpoint: endpoint("a") }, sent(true), sent(true), sent(true), HistoryEvent::Returned { endpoint: endpoint("a") }, received("a"), answered("whole"), answered("whole"), answered("whole")])]
#[case::versions(vec![served(3), served(3), served(4)])]
#[case::patches(vec![acknowledged(2, "a"), acknowledged(2, "a"), kept(2, "a")])]
#[case::orders(vec![ordered(1, 4), ordered(1, 5), ordered(2, 1)])]
fn a_sound_history_passes(#[case] events: Vec<HistoryEvent>) {
    assert_eq!(breaches(events), Vec::<String>::new());
}

#[rstest]
#[case::crossed(vec![sent(true), answered("another's")], "WrongAnswer")]
#[case::lost(vec![sent(true), received("a")], "Lost")]
#[case::doubled(vec![sent(true), answered("whole"), answered("whole")], "Doubled")]
#[case::answered_and_failed(vec![sent(true), answered("whole"), HistoryEvent::Failed { request: request(), kind: "stage_failed".into() }], "Doubled")]
#[case::ran_after_all(vec![sent(true), received("a"), HistoryEvent::NotRun { request: request() }], "RanAfterAll")]
#[case::ran_after_all_beside_an_unreached_entry(vec![sent(true), HistoryEvent::Unreached { request: request() }, sent(true), received("a"), HistoryEvent::NotRun { request: request() }], "RanAfterAll")]
#[case::ran_twice(vec![sent(false), received("a"), received("b"), answered("whole")], "RanTwice")]
#[case::ran_twice_by_resend(vec![sent(false), received("a"), sent(false), received("a"), answered("whole"), answered("whole")], "RanTwice")]
#[case::leaver(vec![HistoryEvent::Leaving { endpoint: endpoint("a") }, sent(true), served(1), served(1), received("a"), answered("whole")], "WorkToLeaver")]
#[case::renewed_notice(vec![HistoryEvent::Leaving { endpoint: endpoint("a") }, sent(true), served(1), HistoryEvent::Leaving { endpoint: endpoint("a") }, received("a"), answered("whole")], "WorkToLeaver")]
#[case::reverted(vec![served(4), served(3)], "VersionReverted")]
#[case::patch_lost(vec![acknowledged(2, "a"), kept(1, "z")], "PatchLost")]
#[case::patch_replaced(vec![acknowledged(2, "a"), kept(2, "b")], "PatchLost")]
#[case::patch_doubled(vec![acknowledged(2, "a"), acknowledged(2, "b")], "PatchDoubled")]
#[case::order(vec![ordered(2, 1), ordered(1, 9)], "OrderReverted")]
#[case::cut(vec![sent(true), HistoryEvent::StopRequested { entry: entry() }, HistoryEvent::Cut { request: request(), entry: entry() }], "CutByStop")]
fn a_broken_promise_is_found(#[case] events: Vec<HistoryEvent>, #[case] breach: &str) {
    assert_eq!(breaches(events), [breach]);
}

/// A request that is sent while its entry stops, and cut after `cut_ms`.
fn crossing(cut_ms: u64, is_received: bool) -> Vec<GuaranteeViolation> {
    let cut = HistoryEvent::Cut {
        request: request(),
        entry: entry(),
    };
    let stop = HistoryEvent::StopRequested { entry: entry() };
    let mut events = vec![(0, stop), (1, sent(true)), (1 + cut_ms, cut)];
    if is_received {
        events.insert(2, (2, received("a")));
    }
    let records = events.into_iter().map(|(at, event)| HistoryRecord {
        at: Duration::from_millis(at),
        event,
    });
    GuaranteeChecker::check(&records.collect::<Vec<_>>())
}

/// A soak (seed 17) cut a request 97 ms after it was sent to a stopping entry, unread.
#[rstest]
#[case(97, false, true)]
#[case(97, true, false)]
#[case(201, false, false)]
fn a_request_may_cross_the_close_of_a_stopping_entry_unread(
    #[case] cut_ms: u64,
    #[case] is_received: bool,
    #[case] is_sound: bool,
) {
    assert_eq!(crossing(cut_ms, is_received).is_empty(), is_sound);
}
