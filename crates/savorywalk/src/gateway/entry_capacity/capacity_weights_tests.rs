use super::*;
use crate::hashing::stable_hash;

/// Sixty-six entries of 0.09 core, then twenty-one of 0.3 core.
const SMALL: usize = 66;
const LARGE: usize = 21;
const SHARDS: usize = 2_000;

fn names(count: usize) -> Vec<PeerName> {
    let ips = (0..count).map(|number| [10, 1, (number / 250) as u8, (number % 250) as u8]);
    ips.map(|ip| PeerName::from_ip(ip.into())).collect()
}

fn weights(entries: &[PeerName], millicores: &[u32]) -> CapacityWeights {
    let reported: Arc<[EntryCapacity]> = millicores.iter().copied().map(EntryCapacity).collect();
    CapacityWeights::new(entries, &reported)
}

fn mixed() -> Vec<u32> {
    [vec![90; SMALL], vec![300; LARGE]].concat()
}

fn hash(shard: usize, entry: &PeerName) -> u64 {
    stable_hash(&[&shard.to_le_bytes(), entry.as_str().as_bytes()])
}

/// Index of the coordinator of each shard.
fn coordinators(entries: &[PeerName], weights: &CapacityWeights) -> Vec<usize> {
    let coordinator = |shard: usize| {
        let indexes = 0..entries.len();
        indexes.max_by_key(|index| weights.rank(&entries[*index], hash(shard, &entries[*index])))
    };
    (0..SHARDS).filter_map(coordinator).collect()
}

/// Daemons of earlier versions rank by the plain hash. With even capacities, with none, and
/// while one entry has not reported its own, the order of all entries must be the same as theirs.
#[test]
fn entries_that_are_not_weighted_are_in_the_order_of_the_plain_hash() {
    let entries = names(984);
    let mut one_unknown = [vec![90; 900], vec![300; 84]].concat();
    one_unknown[17] = 0;
    for reported in [vec![], vec![0; 984], vec![90; 984], one_unknown] {
        let weights = weights(&entries, &reported);
        assert!(!weights.is_weighted());
        for shard in 0..20 {
            let mut plain = entries.clone();
            plain.sort_by_key(|entry| hash(shard, entry));
            let mut ranked = entries.clone();
            ranked.sort_by_key(|entry| weights.rank(entry, hash(shard, entry)));
            assert_eq!(ranked, plain);
        }
    }
}

/// A small entry needs nearly all that it has for its own requests.
#[test]
fn small_entries_coordinate_hardly_anything_beside_large_ones() {
    let entries = names(SMALL + LARGE);
    let chosen = coordinators(&entries, &weights(&entries, &mixed()));
    let small = chosen.iter().filter(|index| **index < SMALL).count();
    assert!((1..SHARDS / 50).contains(&small), "{small}");
    for index in SMALL..SMALL + LARGE {
        let own = chosen.iter().filter(|chosen| **chosen == index).count();
        let even = SHARDS / LARGE;
        assert!((even / 2..even * 2).contains(&own), "{own} of {even}");
    }
}

#[test]
fn a_change_of_one_capacity_moves_only_shards_of_that_entry() {
    let entries = names(SMALL + LARGE);
    let before = coordinators(&entries, &weights(&entries, &mixed()));
    let mut reported = mixed();
    reported[SMALL] /= 2;
    let after = coordinators(&entries, &weights(&entries, &reported));
    let moved: Vec<usize> = before
        .iter()
        .zip(&after)
        .filter(|(before, after)| before != after)
        .map(|(before, _)| *before)
        .collect();
    assert!(moved.iter().all(|index| *index == SMALL));
    assert!(!moved.is_empty() && moved.len() < SHARDS * 2 / LARGE);
}

/// The highest possible hash must stay the highest rank.
#[test]
fn the_extremes_of_the_hash_have_the_extreme_ranks() {
    let entries = names(2);
    let weights = weights(&entries, &[90, 300]);
    let rank = |hash| weights.rank(&entries[1], hash);
    assert!(rank(u64::MAX) > rank(u64::MAX / 2));
    assert!(rank(0) < rank(1 << 40));
}
