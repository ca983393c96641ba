use super::*;
use crate::registry::EntryCapacity;
use crate::transport::PeerName;

const FLUSH_INTERVAL: Duration = Duration::from_millis(300);

const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_200);

const FOLLOWER: &str = "10-0-0-1";

const OWN_DIGEST: EndpointDigest = EndpointDigest {
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

/// A list with one entry that follows this daemon.
fn followers(now: Instant) -> FollowerList {
    let mut list = FollowerList::new(1);
    list.record_own_call(
        now,
        &PeerName::new(FOLLOWER).unwrap(),
        EntryCapacity::default(),
        false,
    );
    list
}

/// In the largest fleet, the names of 70 followers for 14 daemons every 800 ms are 14 KB a
/// second.
#[test]
fn a_follower_is_reported_once_in_many_batches() {
    let mut outbox = ReportOutbox::new(ANNOUNCE_INTERVAL);
    let start = Instant::now();
    let mut list = followers(start);
    let mut names = 0;
    for flush in 0..40_u32 {
        outbox.record(report(flush.into()), ReportOutcome::Changed);
        let now = start + FLUSH_INTERVAL * flush;
        let batch = outbox.take_batch(now, OWN_DIGEST, &mut list).unwrap();
        assert_eq!(batch.reports.len(), 1);
        assert_eq!(batch.own, Some(OWN_DIGEST));
        assert_eq!(batch.followers_digest, Some(list.own_digest()));
        names += batch.followers.len();
    }
    assert_eq!(names, 1);
}

#[test]
fn followers_stay_listed_after_two_lost_batches() {
    let max_interval = HEARTBEAT_INTERVAL + FLUSH_INTERVAL;
    assert!(max_interval * 2 < Duration::from_millis(2_500));
}

#[test]
fn without_changes_only_due_digests_are_sent() {
    let mut outbox = ReportOutbox::new(ANNOUNCE_INTERVAL);
    let start = Instant::now();
    let mut list = followers(start);
    let batch = outbox.take_batch(start, OWN_DIGEST, &mut list).unwrap();
    assert_eq!(batch.followers, [FOLLOWER]);
    assert!(
        outbox
            .take_batch(start + FLUSH_INTERVAL, OWN_DIGEST, &mut list)
            .is_none()
    );
    let batch = outbox
        .take_batch(start + HEARTBEAT_INTERVAL, OWN_DIGEST, &mut list)
        .unwrap();
    assert!(batch.followers.is_empty());
    assert_eq!(batch.followers_digest, Some(list.own_digest()));
}

#[test]
fn a_leaving_follower_is_reported_at_once() {
    let mut outbox = ReportOutbox::new(ANNOUNCE_INTERVAL);
    let start = Instant::now();
    let mut list = followers(start);
    outbox.take_batch(start, OWN_DIGEST, &mut list);
    list.record_own_call(
        start,
        &PeerName::new(FOLLOWER).unwrap(),
        EntryCapacity::default(),
        true,
    );
    let batch = outbox
        .take_batch(start + FLUSH_INTERVAL, OWN_DIGEST, &mut list)
        .unwrap();
    assert_eq!(batch.followers_left, [FOLLOWER]);
    assert_eq!(batch.followers_digest.map(|digest| digest.count), Some(0));
}

/// Repeated announcements of live endpoints cost no traffic between daemons, however many
/// there are.
#[test]
fn repeated_announcements_are_sent_as_one_digest() {
    let mut outbox = ReportOutbox::new(ANNOUNCE_INTERVAL);
    let start = Instant::now();
    let mut list = followers(start);
    outbox.take_batch(start, OWN_DIGEST, &mut list);
    for sequence in 0..100 {
        assert!(!outbox.record(report(sequence), ReportOutcome::Refreshed));
    }
    assert!(
        outbox
            .take_batch(start + FLUSH_INTERVAL, OWN_DIGEST, &mut list)
            .is_none()
    );
    let batch = outbox.take_batch(start + HEARTBEAT_INTERVAL, OWN_DIGEST, &mut list);
    assert!(batch.unwrap().reports.is_empty());
}

#[test]
fn moved_and_silent_endpoints_are_reported() {
    let mut outbox = ReportOutbox::new(ANNOUNCE_INTERVAL);
    assert!(outbox.record(report(1), ReportOutcome::Moved));
    let silent = EndpointReport {
        id: "i-2".into(),
        silent: true,
        ..report(1)
    };
    outbox.record_silent(vec![silent]);
    let now = Instant::now();
    let batch = outbox
        .take_batch(now, OWN_DIGEST, &mut followers(now))
        .unwrap();
    let mut reported: Vec<(&str, bool)> = batch
        .reports
        .iter()
        .map(|report| (report.id.as_str(), report.silent))
        .collect();
    reported.sort();
    assert_eq!(reported, [("i-1", false), ("i-2", true)]);
}
