use super::{EndpointRefresh, EndpointReport};
use crate::prelude::*;

/// Announcements missed after which an endpoint counts as silent: two may come
/// late or be lost on a bad link.
const MISSED_ANNOUNCEMENTS: u32 = 3;

/// Announcements missed after which a silent endpoint is forgotten. Entries
/// that still reach it by then have long been told that it is silent.
const FORGOTTEN_ANNOUNCEMENTS: u32 = 30;

/// Most endpoints listed; several times the target's 1,100.
const MAX_ENDPOINTS: usize = 8_192;

/// What became of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HearOutcome {
    /// Entries must learn of it.
    Changed,
    /// It only shows that the endpoint lives.
    Refreshed,
    /// A newer announcement is known already.
    Stale,
    /// A sign of life of an endpoint that is not listed.
    Unknown,
}

/// What one control daemon has heard of the endpoints, from themselves and
/// from other control daemons. It is memory only: endpoints announce
/// themselves again within seconds.
#[derive(Debug)]
pub struct RegistryTable {
    epoch: u64,
    revision: u64,
    interval: Duration,
    records: BTreeMap<String, RegistryRecord>,
}

#[derive(Debug)]
struct RegistryRecord {
    report: EndpointReport,
    heard: Instant,
    revision: u64,
}

impl RegistryTable {
    /// An empty table; `epoch` tells it from any earlier one of this daemon,
    /// and endpoints announce themselves about every `interval`.
    pub fn new(epoch: u64, interval: Duration) -> Self {
        Self {
            epoch: epoch.max(1),
            revision: 0,
            interval,
            records: BTreeMap::new(),
        }
    }

    /// Incarnation of the table.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Grows with each change that entries must learn of.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes an announcement.
    pub fn hear(&mut self, now: Instant, mut report: EndpointReport) -> HearOutcome {
        report.silent = false;
        let known = self.records.get_mut(&report.id);
        let Some(record) = known else {
            if self.records.len() >= MAX_ENDPOINTS {
                log_event!(warn, "registry_full", endpoint = report.id);
                return HearOutcome::Stale;
            }
            self.revision += 1;
            let record = RegistryRecord {
                heard: now,
                revision: self.revision,
                report,
            };
            self.records.insert(record.report.id.clone(), record);
            return HearOutcome::Changed;
        };
        if report.sequence <= record.report.sequence {
            return HearOutcome::Stale;
        }
        record.heard = now;
        let is_same = is_same(&record.report, &report);
        record.report = report;
        if is_same {
            return HearOutcome::Refreshed;
        }
        self.revision += 1;
        record.revision = self.revision;
        HearOutcome::Changed
    }

    /// Takes a sign of life that another control daemon passes on.
    pub fn refresh(&mut self, now: Instant, refresh: &EndpointRefresh) -> HearOutcome {
        let Some(record) = self.records.get_mut(&refresh.id) else {
            return HearOutcome::Unknown;
        };
        if refresh.sequence <= record.report.sequence {
            return HearOutcome::Stale;
        }
        record.heard = now;
        record.report.sequence = refresh.sequence;
        if !record.report.silent {
            return HearOutcome::Refreshed;
        }
        record.report.silent = false;
        self.revision += 1;
        record.revision = self.revision;
        HearOutcome::Changed
    }

    /// Forgets an endpoint that has said that it is gone or leaves.
    pub fn remove(&mut self, endpoint: &str) {
        self.records.remove(endpoint);
    }

    /// Marks the endpoints that have fallen silent; tells whether any has.
    pub fn tick(&mut self, now: Instant) -> bool {
        let silent_after = self.interval * MISSED_ANNOUNCEMENTS;
        let forgotten_after = self.interval * FORGOTTEN_ANNOUNCEMENTS;
        let before = self.revision;
        self.records
            .retain(|_, record| now < record.heard + forgotten_after);
        for record in self.records.values_mut() {
            if !record.report.silent && now >= record.heard + silent_after {
                record.report.silent = true;
                self.revision += 1;
                record.revision = self.revision;
                log_event!(
                    info,
                    "endpoint_silent",
                    endpoint = record.report.id,
                    pool = record.report.pool,
                    sequence = record.report.sequence
                );
            }
        }
        self.revision != before
    }

    /// The reports that changed after `revision`; all of them after 0.
    pub fn changed_after(&self, revision: u64) -> Vec<EndpointReport> {
        let records = self.records.values();
        let changed = records.filter(|record| record.revision > revision);
        changed.map(|record| record.report.clone()).collect()
    }

    /// Number of endpoints listed.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether none is listed.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

/// Whether two reports of one incarnation tell entries the same.
fn is_same(known: &EndpointReport, news: &EndpointReport) -> bool {
    let warmed = (known.cold_ms > 0) == (news.cold_ms > 0);
    warmed
        && !known.silent
        && known.pool == news.pool
        && known.address == news.address
        && known.data_center == news.data_center
        && known.slots == news.slots
}

#[cfg(test)]
#[path = "registry_table_tests.rs"]
mod tests;
