use std::sync::{Mutex, PoisonError};

use crate::prelude::*;

/// Whose cost an entry is.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub struct CostKey {
    /// Workspace that pays.
    pub workspace: String,
    /// Pipeline.
    pub pipeline: String,
    /// Stage of the pipeline.
    pub stage: String,
}

/// Sums of cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct CostEntry {
    /// Stages that gave a result.
    pub results: u64,
    /// Endpoint time that gave a result, in seconds.
    pub endpoint_seconds: f64,
    /// Endpoint time that gave none, in seconds.
    pub wasted_seconds: f64,
    /// Tokens read and written.
    pub tokens: u64,
}

/// One line of a cost report.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CostLine {
    /// Whose cost it is.
    #[serde(flatten)]
    pub key: CostKey,
    /// The sums.
    #[serde(flatten)]
    pub entry: CostEntry,
}

/// Cost by workspace, pipeline and stage since the process began.
#[derive(Debug, Default)]
pub struct CostLedger {
    entries: Mutex<FastMap<CostKey, CostEntry>>,
}

impl CostLedger {
    /// Adds to an entry.
    pub fn add(&self, key: CostKey, change: CostEntry) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = entries.entry(key).or_default();
        entry.results += change.results;
        entry.endpoint_seconds += change.endpoint_seconds;
        entry.wasted_seconds += change.wasted_seconds;
        entry.tokens += change.tokens;
    }

    /// All entries, ordered by key.
    pub fn report(&self) -> Vec<CostLine> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let mut lines: Vec<CostLine> = entries
            .iter()
            .map(|(key, entry)| CostLine {
                key: key.clone(),
                entry: *entry,
            })
            .collect();
        lines.sort_by(|a, b| a.key.cmp(&b.key));
        lines
    }
}
