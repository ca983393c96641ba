use super::*;

const FLUSH: Duration = Duration::from_millis(300);

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

/// At the design's size signs of life go with every flush, and the list of 22
/// followers went with each of them.
#[test]
fn followers_are_told_now_and_then_however_often_signs_of_life_go() {
    let mut outbox = ReportOutbox::default();
    let start = Instant::now();
    let mut lists = 0;
    for flush in 0..40_u32 {
        outbox.note(report(flush.into()), HearOutcome::Refreshed);
        let batch = outbox.take(start + FLUSH * flush, followers()).unwrap();
        assert_eq!(batch.refreshes.len(), 1);
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
    assert!(outbox.take(start, followers()).is_some());
    assert!(outbox.take(start + FLUSH, followers()).is_none());
    let batch = outbox.take(start + FOLLOWER_INTERVAL, followers()).unwrap();
    assert_eq!(batch.followers, followers());
}
