use super::WorkspaceUsage;
use crate::generated::directory::{PoolUsage, UsageReport};
use crate::prelude::*;

/// Most pairs of pool and workspace in one report; at some six bytes each they
/// bound a report to about 150 bytes.
const MAX_REPORTED: usize = 16;

/// Most pairs that are gathered; beyond it a new pair waits for room.
const MAX_GATHERED: usize = 16_384;

/// Reports' last numbers remembered, one for each entry of a region.
const MAX_ORIGINS: usize = 4_096;

/// Local usage that waits to be reported, and what was heard from others.
#[derive(Debug, Default)]
pub(super) struct UsageGatherer {
    micros: FastMap<(Arc<str>, u32), u64>,
    last_number: u32,
    heard: FastMap<String, (u32, u32)>,
}

impl UsageGatherer {
    pub(super) fn add(&mut self, usage: WorkspaceUsage) {
        let key = (usage.pool, usage.workspace);
        if self.micros.len() < MAX_GATHERED || self.micros.contains_key(&key) {
            *self.micros.entry(key).or_default() += usage.endpoint_micros;
        }
    }

    /// The next report; `None` when there is nothing worth a millisecond.
    pub(super) fn report(&mut self, entry: &str, epoch: u32) -> Option<UsageReport> {
        let mut heaviest: Vec<_> = self
            .micros
            .iter()
            .filter(|(_, micros)| **micros >= 1_000)
            .map(|((pool, workspace), micros)| (*micros, Arc::clone(pool), *workspace))
            .collect();
        heaviest.sort_unstable_by(|a, b| b.cmp(a));
        heaviest.truncate(MAX_REPORTED);
        let mut pools: BTreeMap<Arc<str>, PoolUsage> = BTreeMap::new();
        for (micros, pool, workspace) in heaviest {
            let millis = u32::try_from(micros / 1_000).unwrap_or(u32::MAX);
            let usage = pools.entry(Arc::clone(&pool)).or_insert_with(|| PoolUsage {
                pool: pool.to_string(),
                ..PoolUsage::default()
            });
            usage.workspaces.push(workspace);
            usage.endpoint_ms.push(millis);
            self.take((pool, workspace), u64::from(millis) * 1_000);
        }
        if pools.is_empty() {
            return None;
        }
        self.last_number += 1;
        Some(UsageReport {
            entry: entry.to_string(),
            epoch,
            number: self.last_number,
            pools: pools.into_values().collect(),
        })
    }

    /// Whether a report is new; it then counts as heard.
    pub(super) fn hear(&mut self, report: &UsageReport) -> bool {
        let known = self.heard.get(&report.entry).copied();
        let last = (report.epoch, report.number);
        let new = known.is_none_or(|known| last > known);
        let room = known.is_some() || self.heard.len() < MAX_ORIGINS;
        if new && room {
            self.heard.insert(report.entry.clone(), last);
        }
        new && room
    }

    fn take(&mut self, key: (Arc<str>, u32), micros: u64) {
        let Some(gathered) = self.micros.get_mut(&key) else {
            return;
        };
        *gathered = gathered.saturating_sub(micros);
        if *gathered == 0 {
            self.micros.remove(&key);
        }
    }
}

/// The lines of a report; columns of unequal length end with the shorter.
pub(super) fn lines(report: &UsageReport) -> Vec<WorkspaceUsage> {
    let mut lines = Vec::new();
    for usage in &report.pools {
        let pool: Arc<str> = usage.pool.as_str().into();
        for (workspace, millis) in usage.workspaces.iter().zip(&usage.endpoint_ms) {
            lines.push(WorkspaceUsage {
                pool: Arc::clone(&pool),
                workspace: *workspace,
                endpoint_micros: u64::from(*millis) * 1_000,
            });
        }
    }
    lines
}

#[cfg(test)]
#[path = "usage_gatherer_tests.rs"]
mod tests;
