use super::WorkspaceUsage;
use crate::generated::directory::UsageReport;
use crate::prelude::*;

/// Most pairs of pool and workspace in one report; at some eleven bytes each
/// they bound a report to about 100 bytes.
const MAX_REPORTED: usize = 8;

/// Most pairs that are gathered; beyond it a new pair waits for room.
const MAX_GATHERED: usize = 16_384;

/// Reports' last numbers remembered, one for each entry of a region.
const MAX_ORIGINS: usize = 4_096;

/// Local usage that waits to be reported, and what was heard from others.
#[derive(Debug, Default)]
pub(super) struct UsageCollector {
    micros: FastMap<(u32, u32), u64>,
    last_number: u32,
    heard: FastMap<String, (u32, u32)>,
}

impl UsageCollector {
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
            .map(|(pair, micros)| (*micros, *pair))
            .collect();
        if heaviest.is_empty() {
            return None;
        }
        heaviest.sort_unstable_by(|a, b| b.cmp(a));
        heaviest.truncate(MAX_REPORTED);
        self.last_number += 1;
        let mut report = UsageReport {
            entry: entry.to_string(),
            epoch,
            number: self.last_number,
            ..UsageReport::default()
        };
        for (micros, (pool, workspace)) in heaviest {
            let millis = u32::try_from(micros / 1_000).unwrap_or(u32::MAX);
            report.pools.push(pool);
            report.workspaces.push(workspace);
            report.endpoint_ms.push(millis);
            self.take((pool, workspace), u64::from(millis) * 1_000);
        }
        Some(report)
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

    fn take(&mut self, key: (u32, u32), micros: u64) {
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
    let names = report.pools.iter().zip(&report.workspaces);
    let lines = names.zip(&report.endpoint_ms);
    let lines = lines.map(|((pool, workspace), millis)| WorkspaceUsage {
        pool: *pool,
        workspace: *workspace,
        endpoint_micros: u64::from(*millis) * 1_000,
    });
    lines.collect()
}

#[cfg(test)]
#[path = "usage_collector_tests.rs"]
mod tests;
