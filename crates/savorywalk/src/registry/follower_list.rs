use std::hash::Hasher;

use crate::prelude::*;
use crate::transport::PeerName;

/// Time since its last call after which an entry counts as gone. It calls at
/// least twice a second, and may take a second to find another control daemon.
const FOLLOWER_TIME: Duration = Duration::from_millis(2_500);

/// Time for which a list of all entries is good: hundreds of names are sorted and hashed for
/// it, and dozens of followers ask for it at once.
const LIST_TIME: Duration = Duration::from_millis(100);

/// Which entries follow control: here, and at the other control daemons.
#[derive(Debug, Default)]
pub(super) struct FollowerList {
    own: BTreeMap<String, Instant>,
    others: BTreeMap<String, Instant>,
    listed: Option<(Instant, Arc<NamedEntries>)>,
}

/// Entries by name, with a digest that tells one list from another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct NamedEntries {
    pub(super) names: Vec<String>,
    pub(super) digest: u64,
}

impl FollowerList {
    /// Notes a call of an entry.
    pub(super) fn take_own(&mut self, now: Instant, entry: &PeerName, leaving: bool) {
        let name = entry.to_string();
        if leaving {
            self.own.remove(&name);
            self.others.remove(&name);
            self.listed = None;
            return;
        }
        if self.own.insert(name, now).is_none() {
            self.listed = None;
        }
    }

    /// Notes who follows another control daemon.
    pub(super) fn take_others(&mut self, now: Instant, entries: Vec<String>) {
        for entry in entries {
            self.others.insert(entry, now);
        }
    }

    /// The entries that follow this daemon.
    pub(super) fn own(&mut self, now: Instant) -> Vec<String> {
        self.own.retain(|_, heard| now < *heard + FOLLOWER_TIME);
        self.own.keys().cloned().collect()
    }

    /// All entries that are known, as of a moment ago.
    pub(super) fn all(&mut self, now: Instant) -> Arc<NamedEntries> {
        if let Some((at, listed)) = &self.listed
            && now < *at + LIST_TIME
        {
            return Arc::clone(listed);
        }
        let listed = Arc::new(self.list(now));
        self.listed = Some((now, Arc::clone(&listed)));
        listed
    }

    fn list(&mut self, now: Instant) -> NamedEntries {
        self.others.retain(|_, heard| now < *heard + FOLLOWER_TIME);
        let mut names: BTreeSet<String> = self.own(now).into_iter().collect();
        names.extend(self.others.keys().cloned());
        let mut hasher = rustc_hash::FxHasher::default();
        for name in &names {
            hasher.write(name.as_bytes());
            hasher.write_u8(0);
        }
        NamedEntries {
            names: names.into_iter().collect(),
            digest: hasher.finish(),
        }
    }
}

#[cfg(test)]
#[path = "follower_list_tests.rs"]
mod tests;
