use super::*;
use savorywalk::directory::PrefixHash;

#[test]
fn a_load_is_told_only_once_it_is_old_enough() {
    let start = Instant::now();
    let lag = Duration::from_millis(500);
    let load = |running| EndpointLoad { running, queued: 0 };
    let mut report = LaggedReport::default();
    report.record_load(start, load(1));
    report.record_load(start + Duration::from_millis(400), load(2));
    assert_eq!(
        report.load(start + Duration::from_millis(499), lag),
        load(0)
    );
    assert_eq!(
        report.load(start + Duration::from_millis(500), lag),
        load(1)
    );
    assert_eq!(
        report.load(start + Duration::from_millis(900), lag),
        load(2)
    );
}

#[test]
fn cache_events_come_late_and_with_gaps() {
    let start = Instant::now();
    let hashes = PrefixHash::of_blocks(&[b'a'; 256 * 6]);
    let events = hashes.iter().map(|prefix| CacheEvent {
        prefix: *prefix,
        tokens: 64,
        evicted: false,
    });
    let options = AnnouncementOptions {
        cache_gap: 3,
        ..AnnouncementOptions::default()
    };
    let mut report = LaggedReport::default();
    report.record_events(start, events.collect(), &options);
    let lag = Duration::from_secs(1);
    assert!(report.events(start, lag).is_empty());
    let told: Vec<PrefixHash> = report
        .events(start + lag, lag)
        .iter()
        .map(|event| event.prefix)
        .collect();
    assert_eq!(told, [hashes[0], hashes[1], hashes[3], hashes[4]]);
    assert!(report.events(start + lag, lag).is_empty());
}
