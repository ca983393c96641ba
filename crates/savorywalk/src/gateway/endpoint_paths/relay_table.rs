use rand::RngExt;

use crate::prelude::*;
use crate::transport::PeerName;

/// Entries asked to relay one connection; a second one in case the first has no path either.
const MAX_CANDIDATES: usize = 2;

/// Known relays between which connections are spread.
const MAX_KNOWN: usize = 4;

/// Time for which an entry is not asked again after it failed to relay: long enough that a
/// partitioned data centre does not ask itself all the time.
const FAILURE_TIME: Duration = Duration::from_secs(1);

/// Time for which an entry is not asked again that does not know relays, as it runs an earlier
/// version.
const VERSION_TIME: Duration = Duration::from_secs(30);

/// What an entry is known to do with connections that it should relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayState {
    Usable,
    Unusable { until: Instant },
}

/// An entry to ask for a relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RelayCandidate {
    pub(super) peer: PeerName,
    /// Whether it has relayed before, so that it need not be asked whether it does.
    pub(super) is_known: bool,
}

/// The entries that may relay connections, as a state machine without I/O. Only those that are
/// needed are asked, so a deployment of hundreds of entries is not probed as a whole.
#[derive(Debug, Default)]
pub(super) struct RelayTable {
    states: FastMap<PeerName, RelayState>,
}

impl RelayTable {
    /// Returns the entries to ask, in order: known relays in random order, else others at random,
    /// those to which a link is open first.
    pub(super) fn candidates(
        &mut self,
        now: Instant,
        random: &mut impl RngExt,
        entries: &[PeerName],
        own: &PeerName,
        linked: &[PeerName],
    ) -> Vec<RelayCandidate> {
        self.states.retain(|peer, state| {
            let is_current = match state {
                RelayState::Usable => true,
                RelayState::Unusable { until } => now < *until,
            };
            is_current && entries.contains(peer)
        });
        let first = random.random_range(0..entries.len().max(1));
        let (before, after) = entries.split_at(first.min(entries.len()));
        let rotated = || after.iter().chain(before).filter(|entry| *entry != own);
        let is_known = |entry: &&PeerName| self.states.get(*entry) == Some(&RelayState::Usable);
        let is_unknown = |entry: &&PeerName| !self.states.contains_key(*entry);
        let known = rotated().filter(is_known);
        let near = rotated()
            .filter(is_unknown)
            .filter(|entry| linked.contains(entry));
        let far = rotated()
            .filter(is_unknown)
            .filter(|entry| !linked.contains(entry));
        let ordered = known.map(|entry| (entry, true));
        let ordered = ordered.chain(near.chain(far).map(|entry| (entry, false)));
        let candidates = ordered.map(|(entry, is_known)| RelayCandidate {
            peer: entry.clone(),
            is_known,
        });
        candidates.take(MAX_CANDIDATES).collect()
    }

    /// Records that an entry has relayed a connection, or could not reach its endpoint alone.
    pub(super) fn record_usable(&mut self, peer: &PeerName) {
        let known = self
            .states
            .values()
            .filter(|state| **state == RelayState::Usable);
        if known.count() < MAX_KNOWN {
            self.states.insert(peer.clone(), RelayState::Usable);
        }
    }

    /// Records that an entry did not answer, or has no path itself.
    pub(super) fn record_failed(&mut self, now: Instant, peer: &PeerName) {
        let until = now + FAILURE_TIME;
        self.states
            .insert(peer.clone(), RelayState::Unusable { until });
    }

    /// Records that an entry does not know relays.
    pub(super) fn record_earlier_version(&mut self, now: Instant, peer: &PeerName) {
        let until = now + VERSION_TIME;
        self.states
            .insert(peer.clone(), RelayState::Unusable { until });
    }
}

#[cfg(test)]
#[path = "relay_table_tests.rs"]
mod tests;
