use std::net::Ipv4Addr;

use super::*;
use crate::prelude::*;

fn entries(count: usize) -> Vec<PeerName> {
    let ips = (0..count).map(|index| Ipv4Addr::new(10, 0, 0, index as u8));
    ips.map(PeerName::from_ip).collect()
}

fn key(number: usize) -> StreamKey {
    StreamKey::new("w", "h", &number.to_string())
}

/// Entries whose lists differ while one joins or leaves must still find each other's copies.
#[test]
fn lists_that_differ_in_one_entry_share_two_homes() {
    let all = entries(60);
    for number in 0..200 {
        let mut fewer = all.clone();
        fewer.remove(number % all.len());
        let homes = origin_homes(&key(number), &all);
        let others = origin_homes(&key(number), &fewer);
        let shared = homes.iter().filter(|home| others.contains(home)).count();
        assert!(shared >= HOME_COUNT - 1, "{homes:?} {others:?}");
    }
}

/// No entry may hold much more than its share.
#[test]
fn streams_spread_over_all_entries() {
    let all = entries(100);
    let mut counts: BTreeMap<PeerName, usize> = BTreeMap::new();
    for number in 0..10_000 {
        for home in origin_homes(&key(number), &all) {
            *counts.entry(home.clone()).or_default() += 1;
        }
    }
    assert_eq!(counts.len(), all.len());
    assert!(counts.values().all(|count| *count < 600), "{counts:?}");
}
