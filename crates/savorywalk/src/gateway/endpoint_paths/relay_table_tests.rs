//! Guards against a partitioned entry that asks all other entries, or the same useless ones again
//! and again.

use std::net::Ipv4Addr;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::*;

fn entries(count: u8) -> Vec<PeerName> {
    let addresses = (0..count).map(|last| Ipv4Addr::new(10, 0, 0, last));
    addresses.map(PeerName::from_ip).collect()
}

fn random() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(1)
}

#[test]
fn few_entries_are_asked_and_a_known_relay_first() {
    let now = Instant::now();
    let entries = entries(200);
    let mut random = random();
    let mut table = RelayTable::default();
    let first = table.candidates(now, &mut random, &entries, &entries[0], &[]);
    assert_eq!(first.len(), MAX_CANDIDATES);
    assert!(first.iter().all(|candidate| !candidate.is_known));
    let relay = first[0].peer.clone();
    table.record_usable(&relay);
    for _ in 0..50 {
        let next = table.candidates(now, &mut random, &entries, &entries[0], &[]);
        assert_eq!(next[0].peer, relay);
        assert!(next[0].is_known);
    }
}

#[test]
fn an_entry_to_which_a_link_is_open_is_asked_before_others_and_never_itself() {
    let now = Instant::now();
    let entries = entries(200);
    let linked = vec![entries[0].clone(), entries[7].clone()];
    let mut random = random();
    let mut table = RelayTable::default();
    for _ in 0..50 {
        let candidates = table.candidates(now, &mut random, &entries, &entries[0], &linked);
        assert_eq!(candidates[0].peer, entries[7]);
        assert!(
            candidates
                .iter()
                .all(|candidate| candidate.peer != entries[0])
        );
    }
}

/// All entries of a data centre are partitioned, so most of those asked can't relay.
#[test]
fn an_entry_that_failed_is_not_asked_again_for_a_while() {
    let now = Instant::now();
    let entries = entries(4);
    let mut random = random();
    let mut table = RelayTable::default();
    table.record_failed(now, &entries[1]);
    table.record_earlier_version(now, &entries[2]);
    let candidates = table.candidates(now, &mut random, &entries, &entries[0], &[]);
    let peers: Vec<&PeerName> = candidates.iter().map(|candidate| &candidate.peer).collect();
    assert_eq!(peers, [&entries[3]]);
    let later = now + FAILURE_TIME;
    let candidates = table.candidates(later, &mut random, &entries, &entries[0], &[]);
    assert_eq!(candidates.len(), 2, "the failed one may be asked again");
    let later = now + VERSION_TIME;
    table.record_failed(later, &entries[1]);
    table.record_failed(later, &entries[3]);
    let candidates = table.candidates(later, &mut random, &entries, &entries[0], &[]);
    assert_eq!(
        candidates[0].peer, entries[2],
        "it may run a newer version now"
    );
}

#[test]
fn a_lone_entry_has_no_candidates() {
    let now = Instant::now();
    let entries = entries(1);
    let mut table = RelayTable::default();
    let own = &entries[0];
    assert!(
        table
            .candidates(now, &mut random(), &entries, own, &[])
            .is_empty()
    );
    assert!(
        table
            .candidates(now, &mut random(), &[], own, &[])
            .is_empty()
    );
}
