use super::{EndpointIncarnation, EndpointRefresh, EndpointReport};
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
    /// It puts a known incarnation at another place; the known one holds.
    Foreign,
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
        let is_elsewhere = self.is_elsewhere(&report);
        let known = self.records.get_mut(&report.id);
        let Some(record) = known else {
            self.insert(now, report);
            return HearOutcome::Changed;
        };
        if report.order() <= record.report.order() {
            return HearOutcome::Stale;
        }
        if is_elsewhere {
            return HearOutcome::Foreign;
        }
        if report.born_ms > record.report.born_ms {
            log_event!(
                info,
                "endpoint_restarted",
                endpoint = report.id,
                was_born_ms = record.report.born_ms,
                born_ms = report.born_ms
            );
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

    /// Lists an endpoint. When the table is full, the one that was heard of the
    /// longest ago gives way: endpoints that live are heard every interval, so
    /// that names which nobody uses can't crowd them out.
    fn insert(&mut self, now: Instant, report: EndpointReport) {
        if self.records.len() >= MAX_ENDPOINTS {
            let oldest = self.records.iter().min_by_key(|(_, record)| record.heard);
            if let Some(id) = oldest.map(|(id, _)| id.clone()) {
                log_event!(warn, "registry_full", dropped = id, endpoint = report.id);
                self.records.remove(&id);
            }
        }
        self.revision += 1;
        let record = RegistryRecord {
            heard: now,
            revision: self.revision,
            report,
        };
        self.records.insert(record.report.id.clone(), record);
    }

    /// Takes a sign of life that another control daemon passes on.
    pub fn refresh(&mut self, now: Instant, refresh: &EndpointRefresh) -> HearOutcome {
        let Some(record) = self.records.get_mut(&refresh.id) else {
            return HearOutcome::Unknown;
        };
        if refresh.order() <= record.report.order() {
            return HearOutcome::Stale;
        }
        if refresh.born_ms != record.report.born_ms {
            return HearOutcome::Unknown;
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

    /// Forgets an incarnation that has said that it is gone or leaves, and
    /// those before it.
    pub fn remove(&mut self, incarnation: &EndpointIncarnation) {
        let known = self.records.get(&incarnation.endpoint);
        if known.is_some_and(|record| record.report.born_ms <= incarnation.born_ms) {
            self.records.remove(&incarnation.endpoint);
        }
    }

    /// Whether a report puts the incarnation that is listed at another place.
    pub fn is_elsewhere(&self, report: &EndpointReport) -> bool {
        let record = self.records.get(&report.id);
        let known = record.map(|record| &record.report);
        known.is_some_and(|known| known.born_ms == report.born_ms && !known.is_same_place(report))
    }

    /// The incarnation that is listed under a name.
    pub fn incarnation_of(&self, endpoint: &str) -> Option<EndpointIncarnation> {
        let record = self.records.get(endpoint);
        record.map(|record| record.report.incarnation())
    }

    /// Data centres in which endpoints stand.
    pub fn data_centers(&self) -> BTreeSet<String> {
        let records = self.records.values();
        let names = records.map(|record| record.report.data_center.clone());
        names.collect()
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

/// Whether two reports tell entries the same.
fn is_same(known: &EndpointReport, news: &EndpointReport) -> bool {
    let warmed = (known.cold_ms > 0) == (news.cold_ms > 0);
    warmed
        && !known.silent
        && known.born_ms == news.born_ms
        && known.is_same_place(news)
        && known.slots == news.slots
}

#[cfg(test)]
#[path = "registry_table_tests.rs"]
mod tests;
