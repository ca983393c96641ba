use crate::generated::control::{HistoryRecord, VersionChange};
use crate::prelude::*;

/// Versions that can be rolled back to; most of a day at 1,200 changes a day.
const MAX_RECORDS: usize = 1_024;
/// Most bytes of patches kept, both ways together.
const MAX_BYTES: usize = 8 << 20;

/// The newest changes of the configuration, each with the patch that undoes it.
#[derive(Clone, Debug, Default)]
pub(super) struct ConfigurationHistory {
    records: VecDeque<HistoryRecord>,
    bytes: usize,
}

impl ConfigurationHistory {
    /// Adds the newest change.
    pub(super) fn push(&mut self, record: HistoryRecord) {
        self.bytes += size(&record);
        self.records.push_back(record);
        while self.records.len() > MAX_RECORDS || self.bytes > MAX_BYTES {
            let Some(dropped) = self.records.pop_front() else {
                return;
            };
            self.bytes -= size(&dropped);
        }
    }

    /// Whether every change after `version` is kept.
    pub(super) fn reaches(&self, version: u64) -> bool {
        self.oldest_version()
            .is_some_and(|oldest| oldest <= version)
    }

    /// Oldest version whose content can be had again.
    pub(super) fn oldest_version(&self) -> Option<u64> {
        let first = self.records.front()?.change.as_ref()?;
        Some(first.version - 1)
    }

    /// Changes after `version`, oldest first.
    pub(super) fn changes_after(&self, version: u64) -> Vec<VersionChange> {
        let changes = self.records.iter().filter_map(|it| it.change.as_ref());
        let newer = changes.filter(|change| change.version > version);
        newer.cloned().collect()
    }

    /// Records, newest first.
    pub(super) fn newest_first(&self) -> impl Iterator<Item = &HistoryRecord> {
        self.records.iter().rev()
    }

    /// Records, oldest first.
    pub(super) fn records(&self) -> Vec<HistoryRecord> {
        self.records.iter().cloned().collect()
    }

    /// The history that held `records`.
    pub(super) fn restore(records: Vec<HistoryRecord>) -> Self {
        Self {
            bytes: records.iter().map(size).sum(),
            records: records.into(),
        }
    }
}

fn size(record: &HistoryRecord) -> usize {
    record.merge_json.len() + record.undo_json.len()
}
