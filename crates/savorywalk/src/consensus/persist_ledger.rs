use crate::prelude::*;

/// Keeps account of what is synced and what is still on its way to the disk.
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

    /// Numbers a batch; `last_index` when it reaches the log.
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

    /// Entries from `index` on are replaced, so earlier syncs don't count for them.
    pub(super) fn truncate_from(&mut self, index: u64) {
        let kept = index.saturating_sub(1);
        self.persisted_index = self.persisted_index.min(kept);
        for pending in &mut self.pending {
            pending.last_index = pending.last_index.min(kept);
        }
    }

    /// Takes note that all batches up to `sequence` are synced.
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

    /// The batch that holds the newest election state.
    pub(super) fn hard_state_sequence(&self) -> u64 {
        self.last_hard_state
    }

    /// The batch after which both election state and log are synced.
    pub(super) fn log_sequence(&self) -> u64 {
        self.last_log.max(self.last_hard_state)
    }

    /// Last index that is synced here.
    pub(super) fn persisted_index(&self) -> u64 {
        self.persisted_index
    }
}

#[cfg(test)]
#[path = "persist_ledger_tests.rs"]
mod tests;
