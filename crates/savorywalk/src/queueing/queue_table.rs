use std::sync::atomic::{AtomicU32, Ordering};

use super::{PoolQueue, QueueItem, QueueStatus, UsageReport};
use crate::prelude::*;

/// Maximum number of stages of new requests that wait for one pool at one entry.
const QUEUE_CAPACITY: usize = 4_096;
/// Number of pools beyond which idle queues are removed, so that queues of
/// renamed pools don't accumulate.
const MAX_POOLS: usize = 256;

type PoolMap = FastMap<String, Arc<PoolQueue>>;

/// The queues of all pools at this entry.
#[derive(Debug)]
pub struct QueueTable {
    pools: ArcSwap<PoolMap>,
    entries: AtomicU32,
}

impl Default for QueueTable {
    fn default() -> Self {
        Self {
            pools: ArcSwap::default(),
            entries: AtomicU32::new(1),
        }
    }
}

impl QueueTable {
    /// The queue of a pool, created at its first use.
    pub fn pool(&self, pool: &str) -> Arc<PoolQueue> {
        if let Some(queue) = self.pools.load().get(pool) {
            return Arc::clone(queue);
        }
        let created = Arc::new(PoolQueue::new(pool, QUEUE_CAPACITY));
        created.set_entries(self.entries.load(Ordering::Relaxed));
        self.pools.rcu(|pools| with_pool(pools, pool, &created));
        let pools = self.pools.load();
        pools.get(pool).map_or(created, Arc::clone)
    }

    /// Expected wait of a stage that is added to the queue of `pool` now; zero
    /// for a pool without a queue.
    pub fn expected_wait(&self, now: Instant, pool: &str, item: &QueueItem<'_>) -> Duration {
        let pools = self.pools.load();
        let queue = pools.get(pool);
        queue.map_or(Duration::ZERO, |queue| queue.expected_wait(now, item))
    }

    /// Sets the number of entries that take requests, this one included; each
    /// pool's slots are divided between them.
    pub fn set_entries(&self, entries: u32) {
        self.entries.store(entries.max(1), Ordering::Relaxed);
        for queue in self.pools.load().values() {
            queue.set_entries(entries);
        }
    }

    /// Number of entries between which each pool's slots are divided.
    pub fn entries(&self) -> u32 {
        self.entries.load(Ordering::Relaxed)
    }

    /// Returns and clears the endpoint time that workspaces used through this
    /// entry since the last call, to be reported to the other entries.
    pub fn drain_usage(&self) -> Vec<UsageReport> {
        let pools = self.pools.load();
        pools
            .values()
            .flat_map(|queue| queue.drain_usage())
            .collect()
    }

    /// Charges workspaces for endpoint time that they used through other
    /// entries; `weight_of` returns the weight of a workspace.
    pub fn add_remote_usage(
        &self,
        now: Instant,
        reports: &[UsageReport],
        weight_of: impl Fn(&str) -> u32,
    ) {
        let mut by_pool: FastMap<&str, Vec<(&UsageReport, u32)>> = FastMap::default();
        for report in reports {
            let weighted = (report, weight_of(&report.workspace));
            by_pool.entry(&report.pool).or_default().push(weighted);
        }
        let pools = self.pools.load();
        for (pool, reports) in by_pool {
            // A pool that this entry never used has no queue to correct.
            if let Some(queue) = pools.get(pool) {
                queue.add_remote_usage(now, reports.into_iter());
            }
        }
    }

    /// State of all queues, sorted by pool name, for operators.
    pub fn status(&self, now: Instant) -> Vec<QueueStatus> {
        let pools = self.pools.load();
        let mut status: Vec<QueueStatus> = pools.values().map(|queue| queue.status(now)).collect();
        status.sort_by(|a, b| a.pool.cmp(&b.pool));
        status
    }
}

fn with_pool(pools: &PoolMap, pool: &str, created: &Arc<PoolQueue>) -> PoolMap {
    let mut pools = pools.clone();
    if pools.len() >= MAX_POOLS {
        pools.retain(|_, queue| !queue.is_idle());
    }
    pools
        .entry(pool.to_string())
        .or_insert_with(|| Arc::clone(created));
    pools
}
