use crate::prelude::*;

/// Tracks which batches and log entries are synced and which are still being written.
#[derive(Clone, Debug, Default)]
pub(super) struct PersistLedger {
    issued: u64,
    persisted: u64,
    last_hard_state: u64,
    last_log: u64,
    persisted_index: u64,
    pending: VecDeque<PendingPersist>,
}

#[derive(Clone, Debug)]
struct PendingPersist {
    sequence: u64,
    last_index: u64,
}

impl PersistLedger {
    pub(super) fn new(persisted_index: u64) -> Self {
        Self {
            persisted_index,
            ..Self::default()
        }
    }

    /// Returns the number of a new batch; `last_index` is given if the batch changes the log.
    pub(super) fn issue(&mut self, hard_state: bool, last_index: Option<u64>) -> u64 {
        self.issued += 1;
        if hard_state {
            self.last_hard_state = self.issued;
        }
        if let Some(last_index) = last_index {
            self.last_log = self.issued;
            self.pending.push_back(PendingPersist {
                sequence: self.issued,
                last_index,
            });
        }
        self.issued
    }

    /// Marks entries from `index` on as not synced, as other entries replace them.
    pub(super) fn truncate_from(&mut self, index: u64) {
        let last_kept = index.saturating_sub(1);
        self.persisted_index = self.persisted_index.min(last_kept);
        for pending in &mut self.pending {
            pending.last_index = pending.last_index.min(last_kept);
        }
    }

    /// Records that all batches up to `sequence` are synced.
    pub(super) fn confirm(&mut self, sequence: u64) {
        let sequence = sequence.min(self.issued);
        self.persisted = self.persisted.max(sequence);
        while let Some(pending) = self.pending.front() {
            if pending.sequence > self.persisted {
                break;
            }
            self.persisted_index = self.persisted_index.max(pending.last_index);
            self.pending.pop_front();
        }
    }

    pub(super) fn is_synced(&self, sequence: u64) -> bool {
        sequence <= self.persisted
    }

    /// Number of the batch that holds the newest hard state.
    pub(super) fn hard_state_sequence(&self) -> u64 {
        self.last_hard_state
    }

    /// Number of the batch after which both hard state and log are synced.
    pub(super) fn log_sequence(&self) -> u64 {
        self.last_log.max(self.last_hard_state)
    }

    /// Last index of the log that is synced on this replica.
    pub(super) fn persisted_index(&self) -> u64 {
        self.persisted_index
    }
}

#[cfg(test)]
#[path = "persist_ledger_tests.rs"]
mod tests;
