use super::{PartDigests, ReportKey};
use crate::prelude::*;
use crate::registry::EndpointReport;

/// Index of a table's records by the revision of their last change and by part. The cost of a
/// lookup grows with the number of records found, not with the size of the table.
#[derive(Debug, Default)]
pub(in crate::registry) struct ChangeIndex {
    revision: u64,
    by_revision: BTreeMap<u64, Arc<str>>,
    by_name_hash: BTreeSet<(u64, Arc<str>)>,
    digests: PartDigests,
    silent: BTreeSet<Arc<str>>,
}

/// Position of a record in the index, stored with the record.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::registry) struct RecordMark {
    /// Revision of the record's last change; 0 when it is not in the index.
    revision: u64,
    key: ReportKey,
}

impl ChangeIndex {
    /// Revision of the last change; grows by one with each.
    pub(in crate::registry) fn revision(&self) -> u64 {
        self.revision
    }

    /// Digests of all records.
    pub(in crate::registry) fn digests(&self) -> &PartDigests {
        &self.digests
    }

    /// The first of the silent records by name, if there are any.
    pub(in crate::registry) fn any_silent(&self) -> Option<&Arc<str>> {
        self.silent.first()
    }

    /// Records that a record was added or changed, and gives it the next revision.
    pub(in crate::registry) fn record_change(
        &mut self,
        id: &Arc<str>,
        mark: &mut RecordMark,
        report: &EndpointReport,
    ) {
        self.remove(id, mark);
        self.revision += 1;
        *mark = RecordMark {
            revision: self.revision,
            key: ReportKey::from_report(report),
        };
        self.by_revision.insert(self.revision, Arc::clone(id));
        self.by_name_hash
            .insert((mark.key.name_hash, Arc::clone(id)));
        self.digests.toggle(&mark.key);
        if report.silent {
            self.silent.insert(Arc::clone(id));
        }
    }

    /// Removes a record; does nothing for one that is not in the index.
    pub(in crate::registry) fn remove(&mut self, id: &Arc<str>, mark: &RecordMark) {
        if mark.revision == 0 {
            return;
        }
        self.by_revision.remove(&mark.revision);
        self.by_name_hash
            .remove(&(mark.key.name_hash, Arc::clone(id)));
        self.digests.toggle(&mark.key);
        self.silent.remove(id);
    }

    /// Records that changed after a revision, with the revisions of their changes, oldest first.
    pub(in crate::registry) fn changed_after(
        &self,
        revision: u64,
    ) -> impl Iterator<Item = (u64, &Arc<str>)> {
        let changed = self.by_revision.range(revision.saturating_add(1)..);
        changed.map(|(revision, id)| (*revision, id))
    }

    /// Records of one of `parts` parts; `parts` is a power of two.
    pub(in crate::registry) fn part(
        &self,
        part: u32,
        parts: u32,
    ) -> impl Iterator<Item = &Arc<str>> {
        let bits = parts.checked_ilog2().unwrap_or(0);
        let first = u64::from(part).checked_shl(u64::BITS - bits).unwrap_or(0);
        let last = first | u64::MAX.checked_shr(bits).unwrap_or(0);
        let records = self.by_name_hash.range((first, Arc::from(""))..);
        let records = records.take_while(move |(name_hash, _)| *name_hash <= last);
        records.map(|(_, id)| id)
    }
}

#[cfg(test)]
#[path = "change_index_tests.rs"]
mod tests;
