use std::sync::{PoisonError, RwLock};

use tokio::sync::watch;

use super::{ControlQuery, ControlReply, ControlState};
use crate::configuration::DocumentRegister;
use crate::consensus::ReplicatedMachine;
use crate::evacuation::EvacuationRegister;
use crate::prelude::*;
use crate::quarantine::QuarantineRegister;

/// The state built from a voter's log, shared with concurrent readers.
#[derive(Debug, Default)]
pub struct ControlCell {
    state: RwLock<ControlState>,
    version: watch::Sender<u64>,
    revisions: watch::Sender<DocumentRevisions>,
}

/// The document number, retirement count and revisions that are applied here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DocumentRevisions {
    /// Number of the document in force; 0 for none.
    pub number: u64,
    /// Number of endpoints ever retired.
    pub retired_total: u64,
    /// Revision of the quarantine.
    pub quarantine_revision: u64,
    /// Revision of the watched and the quarantined prompt parts.
    pub part_revision: u64,
    /// Revision of the evacuations.
    pub evacuation_revision: u64,
}

impl ControlCell {
    /// Reads a part of the state; `now_ms` is the reader's wall time.
    pub fn query(&self, now_ms: u64, query: &ControlQuery) -> ControlReply {
        let state = self.state.read().unwrap_or_else(PoisonError::into_inner);
        state.query(now_ms, query)
    }

    /// Watches the configuration version that is applied here.
    pub fn watch_version(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// Watches the revisions of the document in force, the retired endpoints, the
    /// quarantine and the evacuations.
    pub fn watch_documents(&self) -> watch::Receiver<DocumentRevisions> {
        self.revisions.subscribe()
    }

    /// Reads the document in force and the retired endpoints.
    pub fn read_documents<T>(&self, read: impl FnOnce(&DocumentRegister) -> T) -> T {
        let state = self.state.read().unwrap_or_else(PoisonError::into_inner);
        read(state.documents())
    }

    /// Reads the quarantine: the requests under which endpoints crash.
    pub fn read_quarantine<T>(&self, read: impl FnOnce(&QuarantineRegister) -> T) -> T {
        let state = self.state.read().unwrap_or_else(PoisonError::into_inner);
        read(state.quarantined())
    }

    /// Reads the evacuations: the data centres whose endpoints get no new work.
    pub fn read_evacuations<T>(&self, read: impl FnOnce(&EvacuationRegister) -> T) -> T {
        let state = self.state.read().unwrap_or_else(PoisonError::into_inner);
        read(state.evacuations())
    }

    /// Index of the last command applied here.
    pub fn index(&self) -> u64 {
        let state = self.state.read().unwrap_or_else(PoisonError::into_inner);
        state.index()
    }

    /// Changes the state, then publishes its revisions and version if they changed.
    fn change<T>(&self, change: impl FnOnce(&mut ControlState) -> T) -> T {
        let mut state = self.state.write().unwrap_or_else(PoisonError::into_inner);
        let outcome = change(&mut state);
        let version = state.configuration().version();
        let revisions = DocumentRevisions {
            number: state.documents().number(),
            retired_total: state.documents().retired_total(),
            quarantine_revision: state.quarantined().revision(),
            part_revision: state.quarantined().parts().revision(),
            evacuation_revision: state.evacuations().revision(),
        };
        self.revisions.send_if_modified(|published| {
            let is_new = *published != revisions;
            *published = revisions;
            is_new
        });
        self.version.send_if_modified(|published| {
            let is_new = *published != version;
            *published = version;
            is_new
        });
        outcome
    }
}

/// The replicated state machine: applies the log's commands to a cell.
#[derive(Clone, Debug, Default)]
pub struct ControlMachine {
    cell: Arc<ControlCell>,
}

impl ControlMachine {
    /// The cell in which the state can be read.
    pub fn cell(&self) -> &Arc<ControlCell> {
        &self.cell
    }
}

impl ReplicatedMachine for ControlMachine {
    fn apply(&mut self, index: u64, command: &[u8]) -> Bytes {
        self.cell.change(|state| state.apply_bytes(index, command))
    }

    fn snapshot(&self) -> Bytes {
        let state = self.cell.state.read();
        state.unwrap_or_else(PoisonError::into_inner).snapshot()
    }

    fn restore(&mut self, snapshot: &[u8]) -> std::result::Result<(), String> {
        let restored = self.cell.change(|state| state.restore(snapshot));
        restored.map_err(|error| error.to_string())
    }
}
