use super::*;

fn at(ms: u64) -> BootTime {
    BootTime::after(Duration::from_millis(ms))
}

fn report(id: &str) -> EndpointReport {
    EndpointReport {
        id: id.into(),
        pool: "engines".into(),
        sequence: 1,
        ..Default::default()
    }
}

fn reply(number: u64) -> FollowReply {
    FollowReply {
        confirmed: true,
        document_number: number,
        document: Bytes::from(format!("document {number}")),
        table_epoch: 5,
        table_revision: 1,
        ..Default::default()
    }
}

#[test]
fn knowledge_is_as_old_as_the_round_that_confirmed_it() {
    let mut state = FollowState::default();
    let mut answer = reply(3);
    answer.held_ms = 400;
    state.take(at(1_000), at(1_450), answer);
    assert_eq!(state.confirmed_at(), Some(at(1_400)));
}

#[test]
fn a_daemon_that_lags_neither_replaces_the_document_nor_confirms_it() {
    let mut state = FollowState::default();
    state.take(at(0), at(1), reply(7));
    let news = state.take(at(1_000), at(1_001), reply(6));
    assert!(!news.document);
    assert_eq!(state.document_number(), 7);
    assert_eq!(state.confirmed_at(), Some(at(0)));
}

#[test]
fn an_unconfirmed_answer_brings_news_but_no_certainty() {
    let mut state = FollowState::default();
    let mut answer = reply(2);
    answer.confirmed = false;
    let news = state.take(at(0), at(1), answer);
    assert!(news.document);
    assert_eq!(state.confirmed_at(), None);
}

#[test]
fn a_retired_endpoint_does_not_come_back_by_an_older_table() {
    let mut state = FollowState::default();
    let mut answer = reply(1);
    answer.reports = vec![report("a"), report("b")];
    state.take(at(0), at(1), answer);
    let mut answer = reply(1);
    answer.retired_total = 1;
    answer.retired = vec!["a".into()];
    state.take(at(2), at(3), answer);
    let mut answer = reply(1);
    answer.whole = true;
    answer.retired_total = 1;
    answer.reports = vec![report("a"), report("b")];
    state.take(at(4), at(5), answer);
    let ids: Vec<&str> = state
        .endpoints()
        .map(|known| known.report.id.as_str())
        .collect();
    assert_eq!(ids, ["b"]);
}

#[test]
fn endpoints_outlast_a_daemon_that_has_just_started() {
    let mut state = FollowState::default();
    let mut answer = reply(1);
    answer.reports = vec![report("a")];
    state.take(at(0), at(1), answer);
    let mut fresh = reply(1);
    fresh.whole = true;
    fresh.table_epoch = 6;
    state.take(at(1_000), at(1_001), fresh.clone());
    assert_eq!(state.endpoints().count(), 1);
    fresh.whole = false;
    let later = 1_001 + UNLISTED_TIME.as_millis() as u64;
    state.take(at(later), at(later), fresh);
    assert_eq!(state.endpoints().count(), 0);
}
