use super::entry_list::{FollowerChanges, FollowerList};
use super::{EndpointDigest, EndpointReport, ReportBatch, ReportOutcome};
use crate::prelude::*;

/// Time after which a batch is sent even without changes, as a heartbeat: two may be lost
/// before the other daemons remove this one's followers.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(800);

/// Missed announcements after which an endpoint counts as announcing itself at another
/// daemon.
const MISSED_ANNOUNCEMENTS: u32 = 3;

/// Pending reports for the other control daemons. Changes are sent soon; digests of the live
/// endpoints and the followers go with each batch, and also without changes.
#[derive(Debug)]
pub(super) struct ReportOutbox {
    announcement_timeout: Duration,
    reports: FastMap<String, EndpointReport>,
    last_batch: Option<Instant>,
    /// Last announcement of each endpoint at this daemon.
    announced: FastMap<String, Instant>,
}

impl ReportOutbox {
    /// An empty outbox; endpoints announce themselves about every `interval`.
    pub(super) fn new(interval: Duration) -> Self {
        Self {
            announcement_timeout: interval * MISSED_ANNOUNCEMENTS,
            reports: FastMap::default(),
            last_batch: None,
            announced: FastMap::default(),
        }
    }

    /// Records a report that an endpoint sent to this daemon; returns whether the other
    /// daemons should receive it at once.
    pub(super) fn record(&mut self, report: EndpointReport, outcome: ReportOutcome) -> bool {
        match outcome {
            ReportOutcome::Changed | ReportOutcome::Moved => {
                self.reports.insert(report.id.clone(), report);
                true
            }
            ReportOutcome::Refreshed
            | ReportOutcome::Stale
            | ReportOutcome::Relocated
            | ReportOutcome::Unknown
            | ReportOutcome::Full => false,
        }
    }

    /// Records that an endpoint has announced itself here.
    pub(super) fn record_own(&mut self, now: Instant, endpoint: &str) {
        match self.announced.get_mut(endpoint) {
            Some(announced_at) => *announced_at = now,
            None => drop(self.announced.insert(endpoint.to_string(), now)),
        }
    }

    /// Number of endpoints that announce themselves here.
    pub(super) fn count_own(&self) -> usize {
        self.announced.len()
    }

    /// Adds reports of endpoints of this daemon that have become silent.
    pub(super) fn record_silent(&mut self, newly_silent: Vec<EndpointReport>) {
        let newly_silent = newly_silent.into_iter();
        self.reports
            .extend(newly_silent.map(|report| (report.id.clone(), report)));
    }

    /// Takes the pending changes, with digests of the live endpoints, the followers and their capacities;
    /// `None` if nothing is due.
    pub(super) fn take_batch(
        &mut self,
        now: Instant,
        own: EndpointDigest,
        followers: &mut FollowerList,
    ) -> Option<ReportBatch> {
        self.announced
            .retain(|_, announced_at| now < *announced_at + self.announcement_timeout);
        let FollowerChanges { joined, left } = followers.take_pending();
        let is_empty = self.reports.is_empty() && joined.is_empty() && left.is_empty();
        let is_due = self
            .last_batch
            .is_none_or(|last_batch| now >= last_batch + HEARTBEAT_INTERVAL);
        if is_empty && !is_due {
            return None;
        }
        self.last_batch = Some(now);
        let reports = std::mem::take(&mut self.reports);
        let follower_capacities = followers.capacities_of(&joined);
        let names = |names: BTreeSet<Arc<str>>| names.iter().map(ToString::to_string).collect();
        Some(ReportBatch {
            reports: reports.into_values().collect(),
            refreshes: Vec::new(),
            own: Some(own),
            followers: names(joined),
            followers_left: names(left),
            followers_digest: Some(followers.own_digest()),
            follower_capacities,
            capacities_digest: followers.own_capacities_digest(),
        })
    }
}

#[cfg(test)]
#[path = "report_outbox_tests.rs"]
mod tests;
