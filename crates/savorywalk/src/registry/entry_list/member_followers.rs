use super::EntryCapacity;
use super::named_entries::{NamedEntries, name_digest};
use crate::prelude::*;
use crate::registry::{DigestOutcome, EndpointDigest};

/// Mismatching digests in a row after which the list is requested. A single one may differ
/// because of an entry that has just joined or left, which is reported separately.
const MISMATCHES_BEFORE_LIST: u32 = 2;

/// The entries that follow another control daemon, as last reported by it.
#[derive(Debug, Default)]
pub(super) struct MemberFollowers {
    capacities: BTreeMap<Arc<str>, EntryCapacity>,
    digest: u64,
    capacities_digest: u64,
    /// Time of the daemon's last message with changes or the list.
    last_seen: Option<Instant>,
    mismatches: u32,
}

impl MemberFollowers {
    /// Records the time of a message of the daemon.
    pub(super) fn touch(&mut self, now: Instant) {
        self.last_seen = Some(now);
    }

    /// Whether the daemon has sent nothing for `time`.
    pub(super) fn is_lost(&self, now: Instant, time: Duration) -> bool {
        self.last_seen.is_none_or(|seen| now >= seen + time)
    }

    /// Adds an entry, or applies the change of its capacity.
    pub(super) fn add(&mut self, name: &str, capacity: EntryCapacity, entries: &mut NamedEntries) {
        match self.capacities.insert(name.into(), capacity) {
            None => {
                self.digest ^= name_digest(name);
                self.capacities_digest ^= capacity.digest(name);
                entries.add(name, capacity);
            }
            Some(before) if before != capacity => {
                self.capacities_digest ^= before.digest(name) ^ capacity.digest(name);
                entries.replace_capacity(name, before, capacity);
            }
            Some(_) => {}
        }
    }

    pub(super) fn remove(&mut self, name: &str, entries: &mut NamedEntries) {
        if let Some(capacity) = self.capacities.remove(name) {
            self.digest ^= name_digest(name);
            self.capacities_digest ^= capacity.digest(name);
            entries.remove(name, capacity);
        }
    }

    /// Replaces the known entries by the complete list.
    pub(super) fn replace(
        &mut self,
        names: &[String],
        capacities: &[u32],
        entries: &mut NamedEntries,
    ) {
        let listed: BTreeMap<&str, EntryCapacity> =
            EntryCapacity::beside(names, capacities).collect();
        let removed = self.capacities.keys();
        let removed = removed.filter(|name| !listed.contains_key(&***name));
        let removed: Vec<Arc<str>> = removed.cloned().collect();
        for name in removed {
            self.remove(&name, entries);
        }
        for (name, capacity) in listed {
            self.add(name, capacity, entries);
        }
        self.mismatches = 0;
    }

    /// Removes all entries.
    pub(super) fn clear(&mut self, entries: &mut NamedEntries) {
        self.replace(&[], &[], entries);
    }

    /// Compares the known entries and capacities with the digests that the daemon reports. A
    /// daemon of an earlier version reports no capacities, and 0 as their digest.
    pub(super) fn compare(
        &mut self,
        reported: &EndpointDigest,
        capacities_digest: u64,
    ) -> DigestOutcome {
        let is_same = reported.count as usize == self.capacities.len()
            && reported.digest == self.digest
            && capacities_digest == self.capacities_digest;
        if is_same {
            self.mismatches = 0;
            return DigestOutcome::Listed;
        }
        self.mismatches += 1;
        match self.mismatches >= MISMATCHES_BEFORE_LIST {
            true => DigestOutcome::Unlisted,
            false => DigestOutcome::Unsettled,
        }
    }
}
