use std::hash::{BuildHasher, RandomState};
use std::sync::{Mutex, PoisonError};

use super::CostEntry;
use crate::prelude::*;

/// Parts of the ledger, each with a lock of its own.
const SHARDS: usize = 16;
/// Lines kept in one part; 16 parts of about 250 bytes a line are 2 MB.
const MAX_LINES_PER_SHARD: usize = 512;
/// Workspace under which lines beyond that are added up.
pub const OTHER_WORKSPACES: &str = "(other)";

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

type CostShard = Mutex<FastMap<CostKey, CostEntry>>;

/// Cost by workspace, pipeline and stage since the process began.
///
/// A full part adds further workspaces up in one line for each stage, so that
/// memory is bounded and the sums by stage stay whole.
#[derive(Debug, Default)]
pub struct CostLedger {
    shards: [CostShard; SHARDS],
    hasher: RandomState,
}

impl CostLedger {
    /// Adds to an entry.
    pub fn add(&self, key: CostKey, change: &CostEntry) {
        let hash = self.hasher.hash_one(&key) as usize;
        let shard = &self.shards[hash % SHARDS];
        let mut entries = shard.lock().unwrap_or_else(PoisonError::into_inner);
        let is_full = entries.len() >= MAX_LINES_PER_SHARD;
        let key = if is_full && !entries.contains_key(&key) {
            CostKey {
                workspace: OTHER_WORKSPACES.to_string(),
                ..key
            }
        } else {
            key
        };
        entries.entry(key).or_default().add(change);
    }

    /// All entries, ordered by key.
    pub fn report(&self) -> Vec<CostLine> {
        let mut sums: BTreeMap<CostKey, CostEntry> = BTreeMap::new();
        for shard in &self.shards {
            let entries = shard.lock().unwrap_or_else(PoisonError::into_inner);
            for (key, entry) in entries.iter() {
                sums.entry(key.clone()).or_default().add(entry);
            }
        }
        let lines = sums.into_iter();
        lines.map(|(key, entry)| CostLine { key, entry }).collect()
    }
}

#[cfg(test)]
#[path = "cost_ledger_tests.rs"]
mod tests;
