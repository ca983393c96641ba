//! Guards against an entry that takes its own lost paths for endpoints that are down, and against
//! one that asks other entries for relays while a pool is down for everybody.

use super::*;

fn path(endpoint: &str) -> EndpointPath {
    EndpointPath {
        pool: "p".into(),
        endpoint: endpoint.into(),
    }
}

#[test]
fn a_path_is_lost_only_if_a_relay_reaches_its_endpoint() {
    let now = Instant::now();
    let mut table = PathTable::default();
    for _ in 0..10 {
        table.record_failed();
        table.record_unreachable(now, "a");
    }
    assert_eq!(table.choose(now, "a"), PathChoice::Direct);
    assert_eq!(table.choose(now, "b"), PathChoice::Race(HEAD_START));
    assert!(!table.is_isolated());
    assert!(table.record_lost(now, path("a")));
    assert_eq!(table.choose(now, "a"), PathChoice::Relay);
    assert!(!table.record_lost(now, path("a")), "it is known");
}

/// Ten endpoints that are down for everybody cost the other entries one connection attempt a
/// second each, however many requests come.
#[test]
fn relays_are_asked_once_a_second_for_an_endpoint_that_is_down() {
    let start = Instant::now();
    let mut table = PathTable::default();
    let mut asked = 0;
    for millisecond in (0..5_000).step_by(5) {
        let now = start + Duration::from_millis(millisecond);
        for number in 0..10 {
            let endpoint = number.to_string();
            if let PathChoice::Race(_) = table.choose(now, &endpoint) {
                asked += 1;
                table.record_unreachable(now, &endpoint);
            }
        }
    }
    assert_eq!(asked, 50);
}

#[test]
fn lost_paths_in_a_row_shorten_the_head_start_until_a_direct_connection() {
    let now = Instant::now();
    let mut table = PathTable::default();
    table.record_lost(now, path("a"));
    assert_eq!(table.choose(now, "c"), PathChoice::Race(HEAD_START));
    table.record_lost(now, path("b"));
    assert!(table.is_isolated());
    assert_eq!(
        table.choose(now, "c"),
        PathChoice::Race(ISOLATED_HEAD_START)
    );
    table.record_connected(now, "c");
    assert!(!table.is_isolated());
    assert_eq!(
        table.choose(now, "a"),
        PathChoice::Relay,
        "it is still lost"
    );
}

/// Half of the endpoints are cut off from this entry, as a data centre may be.
#[test]
fn an_entry_that_reaches_some_endpoints_is_not_isolated() {
    let now = Instant::now();
    let mut table = PathTable::default();
    for number in 0..20 {
        table.record_lost(now, path(&format!("far-{number}")));
        table.record_connected(now, &format!("near-{number}"));
    }
    assert!(!table.is_isolated());
    assert!(table.reaches_endpoints(now));
    assert_eq!(table.lost_count(), 20);
}

#[test]
fn an_entry_vouches_for_a_dead_endpoint_only_while_it_reaches_others() {
    let now = Instant::now();
    let mut table = PathTable::default();
    assert!(!table.reaches_endpoints(now), "it has connected to none");
    table.record_connected(now, "a");
    table.record_failed();
    assert!(table.reaches_endpoints(now));
    assert!(!table.reaches_endpoints(now + PROOF_TIME), "too long ago");
    for _ in 0..ISOLATION_PATHS {
        table.record_failed();
    }
    assert!(!table.reaches_endpoints(now), "its own path may be lost");
}

#[test]
fn probes_take_turns_and_one_that_connects_restores_all_paths() {
    let start = Instant::now();
    let mut table = PathTable::default();
    for number in 0..3 {
        table.record_lost(start, path(&number.to_string()));
    }
    let probed: BTreeSet<String> = (1..=3)
        .filter_map(|second| table.take_probe(start + Duration::from_secs(second)))
        .map(|path| path.endpoint)
        .collect();
    assert_eq!(probed.len(), 3, "{probed:?}");
    table.forget("0");
    table.record_restored(start, "1");
    assert_eq!(table.lost_count(), 0);
    assert_eq!(table.take_probe(start), None);
    assert_eq!(table.choose(start, "2"), PathChoice::Race(HEAD_START));
}
