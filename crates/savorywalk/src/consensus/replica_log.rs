use super::{EntryKind, LogEntry, ReplicaMembership, SnapshotRecord};
use crate::prelude::*;

/// The log in memory: the entries after a base index, and the memberships in force.
#[derive(Clone, Debug, Default)]
pub(super) struct ReplicaLog {
    base_index: u64,
    base_term: u64,
    entries: VecDeque<LogEntry>,
    memberships: Vec<IndexedMembership>,
}

/// A membership and the index from which it is in force.
#[derive(Clone, Debug)]
struct IndexedMembership {
    index: u64,
    membership: ReplicaMembership,
}

impl ReplicaLog {
    /// An empty log that starts after `snapshot`.
    pub(super) fn after(snapshot: &SnapshotRecord) -> Self {
        let record = snapshot.membership.clone().unwrap_or_default();
        let indexed = IndexedMembership {
            index: snapshot.index,
            membership: ReplicaMembership::from_record(&record),
        };
        Self {
            base_index: snapshot.index,
            base_term: snapshot.term,
            entries: VecDeque::new(),
            memberships: vec![indexed],
        }
    }

    /// Index just before the first entry in memory.
    pub(super) fn base_index(&self) -> u64 {
        self.base_index
    }

    pub(super) fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    pub(super) fn last_term(&self) -> u64 {
        self.entries
            .back()
            .map_or(self.base_term, |entry| entry.term)
    }

    /// Term at `index`, if that is the base or an entry in memory.
    pub(super) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(super) fn get(&self, index: u64) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Entries from `first` to `last`, both included.
    pub(super) fn range(&self, first: u64, last: u64) -> Vec<LogEntry> {
        let indexes = first..=last;
        indexes
            .filter_map(|index| self.get(index).cloned())
            .collect()
    }

    /// Entries from `first` on, up to `max_bytes` of payload but at least one if there is any.
    pub(super) fn slice(&self, first: u64, max_bytes: usize) -> Vec<LogEntry> {
        let mut entries = Vec::new();
        let mut bytes = 0;
        for index in first..=self.last_index() {
            let Some(entry) = self.get(index) else { break };
            bytes += entry.payload.len();
            if bytes > max_bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        entries
    }

    /// Appends an entry; a membership in it is in force at once, before it is committed.
    pub(super) fn append(&mut self, entry: LogEntry) {
        if entry.kind() == EntryKind::Membership
            && let Some(membership) = ReplicaMembership::from_payload(&entry.payload)
        {
            let index = entry.index;
            self.memberships
                .push(IndexedMembership { index, membership });
        }
        self.entries.push_back(entry);
    }

    /// Drops the entries from `index` on, and their memberships.
    pub(super) fn truncate_from(&mut self, index: u64) {
        let kept = index.saturating_sub(self.base_index + 1);
        self.entries.truncate(kept as usize);
        self.memberships.retain(|indexed| indexed.index < index);
    }

    /// Drops the entries up to `index`.
    pub(super) fn compact(&mut self, index: u64) {
        let index = index.min(self.last_index());
        let Some(term) = self.term_at(index) else {
            return;
        };
        let dropped = index - self.base_index;
        self.entries.drain(..dropped as usize);
        self.base_index = index;
        self.base_term = term;
        let in_force = self
            .memberships
            .iter()
            .rposition(|indexed| indexed.index <= index);
        self.memberships.drain(..in_force.unwrap_or(0));
    }

    /// The membership in force at the end of the log, committed or not.
    pub(super) fn membership(&self) -> Option<&ReplicaMembership> {
        self.memberships.last().map(|indexed| &indexed.membership)
    }

    /// Index of the newest membership.
    pub(super) fn membership_index(&self) -> u64 {
        self.memberships.last().map_or(0, |indexed| indexed.index)
    }

    /// The membership in force at `index`.
    pub(super) fn membership_at(&self, index: u64) -> Option<&ReplicaMembership> {
        let newest_first = self.memberships.iter().rev();
        let mut in_force = newest_first.filter(|indexed| indexed.index <= index);
        in_force.next().map(|indexed| &indexed.membership)
    }
}

#[cfg(test)]
#[path = "replica_log_tests.rs"]
mod tests;
