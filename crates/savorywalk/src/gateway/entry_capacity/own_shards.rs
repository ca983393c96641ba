use std::sync::{Mutex, PoisonError};

use crate::gateway::work_shard::{WorkKind, WorkShard};
use crate::prelude::*;

/// Shards named in a log line; of more, only the number is logged.
const MAX_LOGGED_SHARDS: usize = 16;

/// The shards that an entry coordinates, each with its kind of work.
pub(in crate::gateway) type ShardSet = BTreeSet<(WorkKind, WorkShard)>;

/// The shards that this entry coordinates, as last seen.
#[derive(Debug, Default)]
pub(in crate::gateway) struct OwnShards {
    shards: Mutex<ShardSet>,
}

impl OwnShards {
    /// Replaces the shards; returns whether there is one that this entry did not coordinate
    /// before. A change is logged with the capacity that this entry reports.
    pub(in crate::gateway) fn replace(&self, shards: ShardSet, capacity_millicores: u32) -> bool {
        let mut known = self.shards.lock().unwrap_or_else(PoisonError::into_inner);
        if *known == shards {
            return false;
        }
        let gained = shards.difference(&known).count();
        let lost = known.difference(&shards).count();
        let names = shards.iter().take(MAX_LOGGED_SHARDS);
        let names: Vec<String> = names
            .map(|(kind, shard)| format!("{}/{}", kind.label(), shard.name()))
            .collect();
        log_event!(
            info,
            "coordinators_changed",
            shards = shards.len(),
            gained = gained,
            lost = lost,
            capacity_millicores = capacity_millicores,
            names = names.join(",")
        );
        *known = shards;
        gained > 0
    }

    /// Number of the shards.
    pub(in crate::gateway) fn count(&self) -> usize {
        let known = self.shards.lock().unwrap_or_else(PoisonError::into_inner);
        known.len()
    }
}
