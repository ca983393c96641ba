use rand::RngExt;

use crate::prelude::*;
use crate::transport::PeerName;

/// Entries asked to relay one connection. Where half of the entries have lost the path to a pool,
/// one of three has it in seven of eight cases.
const MAX_CANDIDATES: usize = 3;

/// Known relays of a pool between which connections are spread.
const MAX_KNOWN: usize = 4;

/// Time for which an entry that did not reach an endpoint is asked after all others: long enough
/// that a partitioned data centre does not ask itself all the time.
const DOUBT_TIME: Duration = Duration::from_secs(1);

/// Time for which an entry is not asked again that failed to answer, or does not relay now.
const FAILURE_TIME: Duration = Duration::from_secs(1);

/// Time for which an entry is not asked again that does not know relays, as it runs an earlier
/// version.
const VERSION_TIME: Duration = Duration::from_secs(30);

/// What an entry is known to do with connections to one pool that it should relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayState {
    Usable,
    /// It did not reach an endpoint of the pool.
    Doubtful {
        until: Instant,
    },
}

/// An entry to ask for a relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RelayCandidate {
    pub(super) peer: PeerName,
    /// Whether it has relayed before, so that it need not be asked whether it does.
    pub(super) is_known: bool,
}

/// The entries of a deployment, as far as they matter for relays.
#[derive(Clone, Copy, Debug)]
pub(super) struct RelayEntries<'a> {
    /// All entries.
    pub(super) all: &'a [PeerName],
    /// This entry.
    pub(super) own: &'a PeerName,
    /// Entries to which a link is open.
    pub(super) linked: &'a [PeerName],
}

/// The entries that may relay connections, as a state machine without I/O. Only those that are
/// needed are asked, so a deployment of hundreds of entries is not probed as a whole.
///
/// An entry may reach one pool and not another, so each pool has relays of its own.
#[derive(Debug, Default)]
pub(super) struct RelayTable {
    /// States by pool.
    pools: FastMap<String, FastMap<PeerName, RelayState>>,
    /// Until when an entry is not asked for any pool.
    unusable: FastMap<PeerName, Instant>,
}

impl RelayTable {
    /// Returns the entries to ask for a connection to a pool, in order: known relays, others to
    /// which a link is open, all others, and at last those that failed for this pool; each group
    /// in random order.
    pub(super) fn candidates(
        &mut self,
        now: Instant,
        random: &mut impl RngExt,
        pool: &str,
        entries: RelayEntries<'_>,
    ) -> Vec<RelayCandidate> {
        self.expire(now, entries.all);
        let states = self.pools.get(pool);
        let state = |entry: &PeerName| states.and_then(|states| states.get(entry)).copied();
        let first = random.random_range(0..entries.all.len().max(1));
        let (before, after) = entries.all.split_at(first.min(entries.all.len()));
        let usable = after.iter().chain(before);
        let usable = usable.filter(|entry| *entry != entries.own);
        let usable = usable.filter(|entry| !self.unusable.contains_key(*entry));
        let group = |entry: &PeerName| match state(entry) {
            Some(RelayState::Usable) => 0,
            None if entries.linked.contains(entry) => 1,
            None => 2,
            Some(RelayState::Doubtful { .. }) => 3,
        };
        let mut ordered: Vec<(u8, &PeerName)> = usable.map(|entry| (group(entry), entry)).collect();
        ordered.sort_by_key(|(group, _)| *group);
        let candidates = ordered.into_iter().map(|(group, entry)| RelayCandidate {
            peer: entry.clone(),
            is_known: group == 0,
        });
        candidates.take(MAX_CANDIDATES).collect()
    }

    fn expire(&mut self, now: Instant, entries: &[PeerName]) {
        self.unusable.retain(|_, until| now < *until);
        for states in self.pools.values_mut() {
            states.retain(|peer, state| match state {
                RelayState::Usable => entries.contains(peer),
                RelayState::Doubtful { until } => now < *until,
            });
        }
    }

    /// Records that an entry has relayed a connection to a pool.
    pub(super) fn record_usable(&mut self, pool: &str, peer: &PeerName) {
        let states = self.pools.entry(pool.to_string()).or_default();
        let known = states
            .values()
            .filter(|state| **state == RelayState::Usable);
        if known.count() < MAX_KNOWN {
            states.insert(peer.clone(), RelayState::Usable);
        }
    }

    /// Records that an entry did not reach an endpoint of a pool.
    pub(super) fn record_doubtful(&mut self, now: Instant, pool: &str, peer: &PeerName) {
        let states = self.pools.entry(pool.to_string()).or_default();
        let until = now + DOUBT_TIME;
        states.insert(peer.clone(), RelayState::Doubtful { until });
    }

    /// Records that an entry did not answer, or does not relay now.
    pub(super) fn record_failed(&mut self, now: Instant, peer: &PeerName) {
        self.set_unusable(now + FAILURE_TIME, peer);
    }

    /// Records that an entry does not know relays.
    pub(super) fn record_earlier_version(&mut self, now: Instant, peer: &PeerName) {
        self.set_unusable(now + VERSION_TIME, peer);
    }

    fn set_unusable(&mut self, until: Instant, peer: &PeerName) {
        self.unusable.insert(peer.clone(), until);
        for states in self.pools.values_mut() {
            states.remove(peer);
        }
    }
}

#[cfg(test)]
#[path = "relay_table_tests.rs"]
mod tests;
