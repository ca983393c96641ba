use super::{EndpointDigest, EndpointReport, HearOutcome, ReportBatch};
use crate::prelude::*;

/// Time between two lists of the sender's followers: two may be lost before one of
/// them counts as gone. Signs of life go three times as often, and with a list in
/// each batch 22 followers' names for 14 daemons are 13 KB a second.
const FOLLOWER_INTERVAL: Duration = Duration::from_millis(800);

/// Time without an announcement after which an endpoint announces itself elsewhere.
const OWN_TIME: Duration = Duration::from_secs(4);

/// What waits for the other control daemons: changes go out soon, a digest of all that
/// live with each of them and at least as often as the followers.
#[derive(Debug, Default)]
pub(super) struct ReportOutbox {
    reports: FastMap<String, EndpointReport>,
    told: Option<Instant>,
    /// When each endpoint announced itself here last.
    own: FastMap<String, Instant>,
}

impl ReportOutbox {
    /// Notes what an endpoint has told this daemon itself; true when the
    /// others should learn of it at once.
    pub(super) fn note(&mut self, report: EndpointReport, outcome: HearOutcome) -> bool {
        match outcome {
            HearOutcome::Changed | HearOutcome::Moved => {
                self.reports.insert(report.id.clone(), report);
                true
            }
            HearOutcome::Refreshed
            | HearOutcome::Stale
            | HearOutcome::Foreign
            | HearOutcome::Unknown => false,
        }
    }

    /// Notes that an endpoint has announced itself here.
    pub(super) fn note_own(&mut self, now: Instant, endpoint: &str) {
        match self.own.get_mut(endpoint) {
            Some(heard) => *heard = now,
            None => drop(self.own.insert(endpoint.to_string(), now)),
        }
    }

    /// Endpoints that announce themselves here.
    pub(super) fn count_own(&self) -> usize {
        self.own.len()
    }

    /// Notes endpoints that have fallen silent here.
    pub(super) fn note_fallen(&mut self, fallen: Vec<EndpointReport>) {
        let fallen = fallen.into_iter();
        self.reports
            .extend(fallen.map(|report| (report.id.clone(), report)));
    }

    /// Takes what waits with the digest of the endpoints that live, and now and then the
    /// followers; `None` when nothing is due.
    pub(super) fn take(
        &mut self,
        now: Instant,
        own: EndpointDigest,
        followers: Vec<String>,
    ) -> Option<ReportBatch> {
        self.own.retain(|_, heard| now < *heard + OWN_TIME);
        let is_empty = self.reports.is_empty();
        let is_due = self.told.is_none_or(|told| now >= told + FOLLOWER_INTERVAL);
        if is_empty && !is_due {
            return None;
        }
        if is_due {
            self.told = Some(now);
        }
        let reports = std::mem::take(&mut self.reports);
        Some(ReportBatch {
            reports: reports.into_values().collect(),
            refreshes: Vec::new(),
            own: Some(own),
            followers: if is_due { followers } else { Vec::new() },
        })
    }
}

#[cfg(test)]
#[path = "report_outbox_tests.rs"]
mod tests;
