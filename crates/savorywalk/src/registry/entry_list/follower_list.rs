use super::EntryCapacity;
use super::member_followers::MemberFollowers;
use super::named_entries::{EntryChanges, NamedEntries, name_digest};
use crate::prelude::*;
use crate::registry::{DigestOutcome, EndpointDigest};
use crate::transport::PeerName;

/// Time since its last call after which an entry is removed. An entry calls at least twice a
/// second, and may need a second to find another control daemon.
const FOLLOWER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Entries that follow control, at this and at the other control daemons.
#[derive(Debug)]
pub(in crate::registry) struct FollowerList {
    epoch: u64,
    /// Entries that follow this daemon.
    own: BTreeMap<Arc<str>, OwnFollower>,
    own_digest: u64,
    own_capacities_digest: u64,
    /// Changes of `own` that were not sent to the other control daemons yet.
    pending: FollowerChanges,
    members: FastMap<Arc<str>, MemberFollowers>,
    entries: NamedEntries,
}

/// An entry that follows this daemon, as of its last call.
#[derive(Clone, Copy, Debug)]
struct OwnFollower {
    last_call: Instant,
    capacity: EntryCapacity,
}

/// Changes of the entries that follow one control daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(in crate::registry) struct FollowerChanges {
    /// Entries that were added, or whose capacity changed.
    pub(in crate::registry) joined: BTreeSet<Arc<str>>,
    pub(in crate::registry) left: BTreeSet<Arc<str>>,
}

impl FollowerChanges {
    fn record_joined(&mut self, name: &Arc<str>) {
        self.left.remove(name);
        self.joined.insert(Arc::clone(name));
    }

    fn record_left(&mut self, name: &Arc<str>) {
        self.joined.remove(name);
        self.left.insert(Arc::clone(name));
    }
}

impl FollowerList {
    /// Creates an empty list; `epoch` distinguishes it from earlier lists of this daemon.
    pub(in crate::registry) fn new(epoch: u64) -> Self {
        Self {
            epoch,
            own: BTreeMap::new(),
            own_digest: 0,
            own_capacities_digest: 0,
            pending: FollowerChanges::default(),
            members: FastMap::default(),
            entries: NamedEntries::default(),
        }
    }

    /// Epoch that distinguishes this list from earlier ones of the daemon.
    pub(in crate::registry) fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Grows with each entry that is added or removed.
    pub(in crate::registry) fn revision(&self) -> u64 {
        self.entries.revision()
    }

    /// Digest of all entries.
    pub(in crate::registry) fn digest(&self) -> u64 {
        self.entries.digest()
    }

    /// Digest of the known capacities of all entries; 0 for none.
    pub(in crate::registry) fn capacities_digest(&self) -> u64 {
        self.entries.capacities_digest()
    }

    /// Capacities of all entries, sorted by name; empty if all are unknown.
    pub(in crate::registry) fn capacities(&self) -> Vec<u32> {
        self.entries.capacities()
    }

    /// All entries, sorted by name.
    pub(in crate::registry) fn names(&self) -> Vec<String> {
        self.entries.names()
    }

    /// Entries that were added or removed after a revision; `None` when these changes are not
    /// kept any more.
    pub(in crate::registry) fn changes_after(&self, revision: u64) -> Option<EntryChanges> {
        self.entries.changes_after(revision)
    }

    /// Records a call of an entry to this daemon. A leaving entry is removed, also from the
    /// lists of other daemons.
    pub(in crate::registry) fn record_own_call(
        &mut self,
        now: Instant,
        entry: &PeerName,
        capacity: EntryCapacity,
        leaving: bool,
    ) {
        if leaving {
            self.remove_own(entry.as_str());
            for member in self.members.values_mut() {
                member.remove(entry.as_str(), &mut self.entries);
            }
            return;
        }
        if let Some(known) = self.own.get_mut(entry.as_str())
            && known.capacity == capacity
        {
            known.last_call = now;
            return;
        }
        let name: Arc<str> = entry.as_str().into();
        let follower = OwnFollower {
            last_call: now,
            capacity,
        };
        match self.own.insert(Arc::clone(&name), follower) {
            None => {
                self.own_digest ^= name_digest(&name);
                self.own_capacities_digest ^= capacity.digest(&name);
                self.entries.add(&name, capacity);
            }
            Some(OwnFollower {
                capacity: before, ..
            }) => {
                self.own_capacities_digest ^= before.digest(&name) ^ capacity.digest(&name);
                self.entries.replace_capacity(&name, before, capacity);
            }
        }
        self.pending.record_joined(&name);
    }

    fn remove_own(&mut self, name: &str) {
        if let Some((name, OwnFollower { capacity, .. })) = self.own.remove_entry(name) {
            self.own_digest ^= name_digest(&name);
            self.own_capacities_digest ^= capacity.digest(&name);
            self.entries.remove(&name, capacity);
            self.pending.record_left(&name);
        }
    }

    /// Removes entries that no longer call, and the entries of control daemons that are lost.
    pub(in crate::registry) fn expire(&mut self, now: Instant) {
        let silent = self.own.iter();
        let silent = silent.filter(|(_, follower)| now >= follower.last_call + FOLLOWER_TIMEOUT);
        let silent: Vec<Arc<str>> = silent.map(|(name, _)| Arc::clone(name)).collect();
        for name in silent {
            self.remove_own(&name);
        }
        let entries = &mut self.entries;
        self.members.retain(|_, member| {
            let is_lost = member.is_lost(now, FOLLOWER_TIMEOUT);
            if is_lost {
                member.clear(entries);
            }
            !is_lost
        });
    }

    /// Names of the entries that follow this daemon.
    pub(in crate::registry) fn own_names(&self) -> Vec<String> {
        self.own.keys().map(ToString::to_string).collect()
    }

    /// Capacities of the entries that follow this daemon, sorted by name; empty if all are
    /// unknown.
    pub(in crate::registry) fn own_capacities(&self) -> Vec<u32> {
        EntryCapacity::to_list(self.own.values().map(|follower| follower.capacity))
    }

    /// Capacities of some entries of this daemon, in their order; empty if all are unknown.
    pub(in crate::registry) fn capacities_of(&self, names: &BTreeSet<Arc<str>>) -> Vec<u32> {
        let followers = names.iter().map(|name| self.own.get(name));
        EntryCapacity::to_list(followers.map(|follower| {
            follower
                .map(|follower| follower.capacity)
                .unwrap_or_default()
        }))
    }

    /// Digest of the known capacities of the entries that follow this daemon; 0 for none.
    pub(in crate::registry) fn own_capacities_digest(&self) -> u64 {
        self.own_capacities_digest
    }

    /// Number of the entries that follow this daemon.
    pub(in crate::registry) fn count_own(&self) -> usize {
        self.own.len()
    }

    /// Digest of the entries that follow this daemon.
    pub(in crate::registry) fn own_digest(&self) -> EndpointDigest {
        EndpointDigest {
            count: self.own.len() as u32,
            digest: self.own_digest,
        }
    }

    /// Takes the changes that were not sent to the other control daemons yet.
    pub(in crate::registry) fn take_pending(&mut self) -> FollowerChanges {
        std::mem::take(&mut self.pending)
    }

    /// Applies changes of the entries that follow another control daemon, as reported by it.
    pub(in crate::registry) fn apply_changes(
        &mut self,
        now: Instant,
        member: &str,
        joined: &[String],
        capacities: &[u32],
        left: &[String],
    ) {
        let known = self.members.entry(member.into()).or_default();
        known.touch(now);
        for (name, capacity) in EntryCapacity::beside(joined, capacities) {
            known.add(name, capacity, &mut self.entries);
        }
        for name in left {
            known.remove(name, &mut self.entries);
        }
    }

    /// Compares the known followers of another control daemon, and their capacities, with the
    /// digests that it reports.
    pub(in crate::registry) fn compare(
        &mut self,
        member: &str,
        digest: &EndpointDigest,
        capacities_digest: u64,
    ) -> DigestOutcome {
        let known = self.members.entry(member.into()).or_default();
        known.compare(digest, capacities_digest)
    }

    /// Applies the complete list of entries that follow another control daemon.
    pub(in crate::registry) fn apply_list(
        &mut self,
        now: Instant,
        member: &str,
        names: &[String],
        capacities: &[u32],
    ) {
        let known = self.members.entry(member.into()).or_default();
        known.touch(now);
        known.replace(names, capacities, &mut self.entries);
    }
}

#[cfg(test)]
#[path = "follower_list_tests.rs"]
mod tests;
