use super::*;

const FLUSH: Duration = Duration::from_millis(300);

const OWN: EndpointDigest = EndpointDigest {
    count: 3,
    digest: 7,
};

fn report(sequence: u64) -> EndpointReport {
    EndpointReport {
        id: "i-1".into(),
        sequence,
        ..Default::default()
    }
}

fn followers() -> Vec<String> {
    vec!["10-0-0-1".into()]
}

/// At the design's size changes go with every flush, and the list of 22 followers went
/// with each of them.
#[test]
fn followers_are_told_now_and_then_however_often_changes_go() {
    let mut outbox = ReportOutbox::default();
    let start = Instant::now();
    let mut lists = 0;
    for flush in 0..40_u32 {
        outbox.note(report(flush.into()), HearOutcome::Changed);
        let now = start + FLUSH * flush;
        let batch = outbox.take(now, OWN, followers()).unwrap();
        assert_eq!(batch.reports.len(), 1);
        assert_eq!(batch.own, Some(OWN));
        lists += batch.followers.len();
    }
    assert_eq!(lists, 14);
}

#[test]
fn an_entry_stays_known_though_two_lists_are_lost() {
    let most = FOLLOWER_INTERVAL + FLUSH;
    assert!(most * 2 < Duration::from_millis(2_500));
}

#[test]
fn without_news_only_followers_that_are_due_are_told() {
    let mut outbox = ReportOutbox::default();
    let start = Instant::now();
    assert!(outbox.take(start, OWN, followers()).is_some());
    assert!(outbox.take(start + FLUSH, OWN, followers()).is_none());
    let batch = outbox
        .take(start + FOLLOWER_INTERVAL, OWN, followers())
        .unwrap();
    assert_eq!(batch.followers, followers());
}

/// What an endpoint that lives says again costs nothing, however many there are.
#[test]
fn signs_of_life_go_as_one_digest() {
    let mut outbox = ReportOutbox::default();
    let start = Instant::now();
    outbox.take(start, OWN, followers());
    for sequence in 0..100 {
        assert!(!outbox.note(report(sequence), HearOutcome::Refreshed));
    }
    assert!(outbox.take(start + FLUSH, OWN, followers()).is_none());
    let batch = outbox.take(start + FOLLOWER_INTERVAL, OWN, followers());
    assert!(batch.unwrap().reports.is_empty());
}

#[test]
fn the_others_learn_who_hears_an_endpoint_and_who_fell_silent() {
    let mut outbox = ReportOutbox::default();
    assert!(outbox.note(report(1), HearOutcome::Moved));
    let silent = EndpointReport {
        id: "i-2".into(),
        silent: true,
        ..report(1)
    };
    outbox.note_fallen(vec![silent]);
    let batch = outbox.take(Instant::now(), OWN, followers()).unwrap();
    let mut told: Vec<(&str, bool)> = batch
        .reports
        .iter()
        .map(|report| (report.id.as_str(), report.silent))
        .collect();
    told.sort();
    assert_eq!(told, [("i-1", false), ("i-2", true)]);
}
