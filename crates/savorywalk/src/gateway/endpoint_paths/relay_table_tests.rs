//! Guards against a partitioned entry that asks all other entries, or the same useless ones again
//! and again.

use std::net::Ipv4Addr;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::*;

const POOL: &str = "p";

/// A table at the first of several entries, with those to which it has links.
struct TestTable {
    table: RelayTable,
    entries: Vec<PeerName>,
    linked: Vec<PeerName>,
    random: ChaCha8Rng,
}

impl TestTable {
    fn new(count: u8) -> Self {
        let addresses = (0..count).map(|last| Ipv4Addr::new(10, 0, 0, last));
        Self {
            table: RelayTable::default(),
            entries: addresses.map(PeerName::from_ip).collect(),
            linked: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(1),
        }
    }

    fn candidates(&mut self, now: Instant, pool: &str) -> Vec<RelayCandidate> {
        let entries = RelayEntries {
            all: &self.entries,
            own: &self.entries[0],
            linked: &self.linked,
        };
        self.table.candidates(now, &mut self.random, pool, entries)
    }

    fn peers(&mut self, now: Instant) -> Vec<PeerName> {
        let candidates = self.candidates(now, POOL).into_iter();
        candidates.map(|candidate| candidate.peer).collect()
    }
}

#[test]
fn few_entries_are_asked_and_a_known_relay_first() {
    let now = Instant::now();
    let mut test = TestTable::new(200);
    let first = test.candidates(now, POOL);
    assert_eq!(first.len(), MAX_CANDIDATES);
    assert!(first.iter().all(|candidate| !candidate.is_known));
    let relay = first[0].peer.clone();
    test.table.record_usable(POOL, &relay);
    for _ in 0..50 {
        let next = test.candidates(now, POOL);
        assert_eq!(next[0].peer, relay);
        assert!(next[0].is_known);
    }
}

#[test]
fn an_entry_to_which_a_link_is_open_is_asked_before_others_and_never_itself() {
    let now = Instant::now();
    let mut test = TestTable::new(200);
    test.linked = vec![test.entries[0].clone(), test.entries[7].clone()];
    for _ in 0..50 {
        let peers = test.peers(now);
        assert_eq!(peers[0], test.entries[7]);
        assert!(!peers.contains(&test.entries[0]));
    }
}

/// Half of the entries have lost the path to one pool, and reach all others.
#[test]
fn an_entry_that_does_not_reach_one_pool_is_asked_last_for_that_pool_only() {
    let now = Instant::now();
    let mut test = TestTable::new(5);
    let cut = test.entries[1].clone();
    test.table.record_usable(POOL, &cut);
    test.table.record_usable("q", &cut);
    test.table.record_doubtful(now, POOL, &cut);
    let peers = test.peers(now);
    assert!(!peers.contains(&cut), "three others are there: {peers:?}");
    assert_eq!(test.candidates(now, "q")[0].peer, cut);
    test.linked = vec![cut.clone()];
    assert_eq!(test.peers(now + DOUBT_TIME)[0], cut, "doubt has ended");
}

#[test]
fn an_entry_that_failed_is_not_asked_again_for_a_while() {
    let now = Instant::now();
    let mut test = TestTable::new(4);
    let [failed, earlier] = [1, 2].map(|index: usize| test.entries[index].clone());
    test.table.record_usable(POOL, &failed);
    test.table.record_failed(now, &failed);
    test.table.record_earlier_version(now, &earlier);
    assert_eq!(test.peers(now), [test.entries[3].clone()]);
    let later = now + FAILURE_TIME;
    let candidates = test.candidates(later, POOL);
    assert_eq!(candidates.len(), 2, "the failed one may be asked again");
    assert!(candidates.iter().all(|candidate| !candidate.is_known));
    assert_eq!(
        test.peers(now + VERSION_TIME).len(),
        3,
        "it may be newer now"
    );
}

#[test]
fn a_lone_entry_has_no_candidates() {
    let now = Instant::now();
    assert!(TestTable::new(1).peers(now).is_empty());
    let mut test = TestTable::new(1);
    let own = test.entries[0].clone();
    let none = RelayEntries {
        all: &[],
        own: &own,
        linked: &[],
    };
    let candidates = test.table.candidates(now, &mut test.random, POOL, none);
    assert!(candidates.is_empty());
}
