use super::EntryCapacity;
use crate::hashing::stable_hash;
use crate::prelude::*;

/// Maximum number of removals that are kept, for followers at an older revision.
const MAX_REMOVALS: usize = 1_024;

/// All known entries, with the revision of each entry's last change.
#[derive(Debug, Default)]
pub(super) struct NamedEntries {
    /// By name, the capacity that each control daemon with the entry has reported.
    reported: BTreeMap<Arc<str>, Vec<EntryCapacity>>,
    /// Names by the revision of their last change.
    changes: BTreeMap<u64, Arc<str>>,
    /// Revisions of the last change by name, also of removed entries.
    last_changes: FastMap<Arc<str>, u64>,
    /// Revisions at which entries were removed, oldest first.
    removals: VecDeque<u64>,
    revision: u64,
    /// Changes after an older revision than this are incomplete, because removals were dropped.
    oldest_complete: u64,
    digest: u64,
    capacities_digest: u64,
}

/// Entries that were added or removed after a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(in crate::registry) struct EntryChanges {
    /// Entries that were added, or whose capacity changed.
    pub(in crate::registry) joined: Vec<String>,
    /// Capacities of `joined`, in the same order; empty if all are unknown.
    pub(in crate::registry) capacities: Vec<u32>,
    pub(in crate::registry) left: Vec<String>,
}

/// Contribution of a name to the digest of a list, which is the XOR of all of them.
pub(super) fn name_digest(name: &str) -> u64 {
    stable_hash(&[name.as_bytes()])
}

/// Capacity of an entry for which control daemons report different ones: the lowest, so that
/// all daemons arrive at the same, and an entry that runs short is relieved at once. It is
/// unknown if one of them is of an earlier version, whose followers know no capacities.
fn merge(reported: &[EntryCapacity]) -> EntryCapacity {
    reported.iter().min().copied().unwrap_or_default()
}

impl NamedEntries {
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    pub(super) fn digest(&self) -> u64 {
        self.digest
    }

    /// Digest of all known capacities; 0 for none.
    pub(super) fn capacities_digest(&self) -> u64 {
        self.capacities_digest
    }

    /// All names, sorted.
    pub(super) fn names(&self) -> Vec<String> {
        self.reported.keys().map(ToString::to_string).collect()
    }

    /// Capacities of all entries, sorted by name; empty if all are unknown.
    pub(super) fn capacities(&self) -> Vec<u32> {
        let capacities = self.reported.values();
        EntryCapacity::to_list(capacities.map(|reported| merge(reported)))
    }

    /// Records that an entry is known at one more control daemon, with this capacity.
    pub(super) fn add(&mut self, name: &str, capacity: EntryCapacity) {
        if let Some(reported) = self.reported.get_mut(name) {
            let before = merge(reported);
            reported.push(capacity);
            let after = merge(reported);
            return self.record_capacity(name, before, after);
        }
        let name: Arc<str> = name.into();
        self.reported.insert(Arc::clone(&name), vec![capacity]);
        self.digest ^= name_digest(&name);
        self.capacities_digest ^= capacity.digest(&name);
        self.record_change(name);
    }

    /// Records that an entry is known at one control daemon less, which reported this
    /// capacity.
    pub(super) fn remove(&mut self, name: &str, capacity: EntryCapacity) {
        let Some(reported) = self.reported.get_mut(name) else {
            return;
        };
        let before = merge(reported);
        if let Some(index) = reported.iter().position(|known| *known == capacity) {
            reported.swap_remove(index);
        }
        if !reported.is_empty() {
            let after = merge(reported);
            return self.record_capacity(name, before, after);
        }
        if let Some((name, _)) = self.reported.remove_entry(name) {
            self.digest ^= name_digest(&name);
            self.capacities_digest ^= before.digest(&name);
            self.record_change(name);
            self.removals.push_back(self.revision);
            self.trim_removals();
        }
    }

    /// Records that a control daemon reports another capacity of an entry than before.
    pub(super) fn replace_capacity(
        &mut self,
        name: &str,
        before: EntryCapacity,
        after: EntryCapacity,
    ) {
        // The entry stays known at the daemon throughout, so that it does not count as removed.
        self.add(name, after);
        self.remove(name, before);
    }

    fn record_capacity(&mut self, name: &str, before: EntryCapacity, after: EntryCapacity) {
        if before != after {
            self.capacities_digest ^= before.digest(name) ^ after.digest(name);
            self.record_change(name.into());
        }
    }

    fn record_change(&mut self, name: Arc<str>) {
        self.revision += 1;
        if let Some(before) = self.last_changes.insert(Arc::clone(&name), self.revision) {
            self.changes.remove(&before);
        }
        self.changes.insert(self.revision, name);
    }

    fn trim_removals(&mut self) {
        while self.removals.len() > MAX_REMOVALS
            && let Some(oldest) = self.removals.pop_front()
        {
            self.oldest_complete = oldest;
            // An entry that has been added again has a later change, which stays.
            if let Some(name) = self.changes.remove(&oldest) {
                self.last_changes.remove(&name);
            }
        }
    }

    /// Changes after a revision; `None` when they are not kept any more, or when the revision is
    /// newer than the list.
    pub(super) fn changes_after(&self, revision: u64) -> Option<EntryChanges> {
        if revision < self.oldest_complete || revision > self.revision {
            return None;
        }
        let mut changes = EntryChanges::default();
        let mut capacities = Vec::new();
        for name in self.changes.range(revision + 1..).map(|(_, name)| name) {
            match self.reported.get(name) {
                Some(reported) => {
                    changes.joined.push(name.to_string());
                    capacities.push(merge(reported));
                }
                None => changes.left.push(name.to_string()),
            }
        }
        changes.capacities = EntryCapacity::to_list(capacities.into_iter());
        Some(changes)
    }
}
