use std::sync::{Mutex, PoisonError};

use savorywalk::prelude::*;

use crate::{HistoryEvent, HistoryRecord};

/// Records of one run, written by all who take part in it.
#[derive(Debug)]
pub struct HistoryBook {
    started: Instant,
    records: Mutex<Vec<HistoryRecord>>,
}

impl Default for HistoryBook {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            records: Mutex::default(),
        }
    }
}

impl HistoryBook {
    /// Records an event at this moment.
    pub fn record(&self, event: HistoryEvent) {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        let at = self.started.elapsed();
        records.push(HistoryRecord { at, event });
    }

    /// All records so far, in their order.
    pub fn records(&self) -> Vec<HistoryRecord> {
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.clone()
    }
}
