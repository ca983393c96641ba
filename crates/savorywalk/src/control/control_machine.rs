use std::sync::{PoisonError, RwLock};

use tokio::sync::watch;

use super::{ControlQuery, ControlReply, ControlState};
use crate::consensus::ReplicatedMachine;
use crate::prelude::*;

/// The state that a voter's log makes, for those who read it.
#[derive(Debug, Default)]
pub struct ControlCell {
    state: RwLock<ControlState>,
    version: watch::Sender<u64>,
}

impl ControlCell {
    /// Reads a part of the state; `now_ms` is the reader's wall time.
    pub fn query(&self, now_ms: u64, query: &ControlQuery) -> ControlReply {
        let state = self.state.read().unwrap_or_else(PoisonError::into_inner);
        state.query(now_ms, query)
    }

    /// Version of the configuration applied here, and its changes.
    pub fn watch_version(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    fn change<T>(&self, change: impl FnOnce(&mut ControlState) -> T) -> T {
        let mut state = self.state.write().unwrap_or_else(PoisonError::into_inner);
        let outcome = change(&mut state);
        let version = state.configuration().version();
        self.version.send_if_modified(|published| {
            let is_news = *published != version;
            *published = version;
            is_news
        });
        outcome
    }
}

/// Applies the log to a cell.
#[derive(Clone, Debug, Default)]
pub struct ControlMachine {
    cell: Arc<ControlCell>,
}

impl ControlMachine {
    /// Where the state can be read.
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
