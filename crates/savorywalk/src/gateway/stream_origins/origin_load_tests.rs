//! Origins at the size designed for, without a network: memory, messages, and what is left after
//! entries are lost. See docs/design/stream-origins.md.

use std::net::Ipv4Addr;

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::origin_table::MAX_ORIGINS;
use super::*;
use crate::prelude::*;
use crate::transport::PeerName;

const ENTRIES: usize = 335;
const STREAMS_PER_SECOND: usize = 7_800;
const LIFETIME: Duration = Duration::from_secs(15);
const SEED: u64 = 20_261_203;

fn entry(index: usize) -> PeerName {
    PeerName::from_ip(Ipv4Addr::new(
        10,
        0,
        (index / 250) as u8,
        (index % 250) as u8,
    ))
}

/// Tables of all entries, after one second of streams.
struct OriginFleet {
    entries: Vec<PeerName>,
    tables: BTreeMap<PeerName, OriginTable>,
    /// Key of each stream and the entry that relays it.
    streams: Vec<(StreamKey, PeerName)>,
}

impl OriginFleet {
    fn new(random: &mut ChaCha8Rng, now: Instant) -> Self {
        let entries: Vec<PeerName> = (0..ENTRIES).map(entry).collect();
        let tables = entries
            .iter()
            .cloned()
            .map(|entry| (entry, OriginTable::default()));
        let mut fleet = Self {
            tables: tables.collect(),
            streams: Vec::new(),
            entries,
        };
        for number in 0..STREAMS_PER_SECOND {
            let key = StreamKey::new("w", "h", &number.to_string());
            let relay = fleet.entries[random.random_range(0..ENTRIES)].clone();
            let mut holders = origin_homes(&key, &fleet.entries);
            holders.push(&relay);
            for holder in holders {
                let origin = StreamOrigin {
                    pool: "p".into(),
                    version: Some("v1".into()),
                };
                let table = fleet.tables.get_mut(holder).unwrap();
                assert!(table.insert(now, key, origin, LIFETIME));
            }
            fleet.streams.push((key, relay));
        }
        fleet
    }

    /// Whether an entry whose list is `entries` finds the origin of a stream.
    fn is_found(&self, now: Instant, key: &StreamKey, entries: &[PeerName]) -> bool {
        let mut homes = origin_homes(key, entries).into_iter();
        homes.any(|home| {
            let table = self.tables.get(home);
            table.is_some_and(|table| table.find(now, key).is_some())
        })
    }
}

/// The rule asks for half as many of the streams taken up as of new ones.
#[test]
fn origins_outlive_the_loss_of_a_tenth_of_the_entries() {
    let (mut random, now) = (ChaCha8Rng::seed_from_u64(SEED), Instant::now());
    let mut fleet = OriginFleet::new(&mut random, now);
    let known = fleet.entries.clone();
    let mut lost = known.clone();
    lost.shuffle(&mut random);
    lost.truncate(ENTRIES / 10);
    for entry in &lost {
        fleet.tables.remove(entry);
    }
    let streams = fleet
        .streams
        .iter()
        .filter(|(_, relay)| lost.contains(relay));
    let streams: Vec<&StreamKey> = streams.map(|(key, _)| key).collect();
    // Lists of entries may be those before the loss or after it.
    let remaining: Vec<PeerName> = fleet.tables.keys().cloned().collect();
    for entries in [&known, &remaining] {
        let found = streams
            .iter()
            .filter(|key| fleet.is_found(now, key, entries));
        let found = found.count();
        println!("{found} of {} origins found", streams.len());
        assert!(found * 2 >= streams.len(), "{found} of {}", streams.len());
    }
}

/// A second of streams must not fill more than its share of the bound on any entry.
#[test]
fn no_entry_holds_more_than_its_table_allows_for() {
    let (mut random, now) = (ChaCha8Rng::seed_from_u64(SEED), Instant::now());
    let fleet = OriginFleet::new(&mut random, now);
    let most = fleet.tables.values().map(OriginTable::len).max().unwrap();
    println!("{most} origins a second at the entry that holds most");
    let kept = most * LIFETIME.as_secs() as usize;
    assert!(kept < MAX_ORIGINS, "{kept} of {MAX_ORIGINS}");
}
