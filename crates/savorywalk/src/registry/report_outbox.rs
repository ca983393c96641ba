use super::{EndpointRefresh, EndpointReport, HearOutcome, ReportBatch};
use crate::prelude::*;

/// Time between two lists of the sender's followers: two may be lost before one of
/// them counts as gone. Signs of life go three times as often, and with a list in
/// each batch 22 followers' names for 14 daemons are 13 KB a second.
const FOLLOWER_INTERVAL: Duration = Duration::from_millis(800);

/// What waits to be told to the other control daemons: changes go out at once,
/// signs of life together with others, at every flush.
#[derive(Debug, Default)]
pub(super) struct ReportOutbox {
    reports: FastMap<String, EndpointReport>,
    refreshes: FastMap<String, EndpointRefresh>,
    told: Option<Instant>,
}

impl ReportOutbox {
    /// Notes what an endpoint has told this daemon itself; true when the
    /// others should learn of it at once.
    pub(super) fn note(&mut self, report: EndpointReport, outcome: HearOutcome) -> bool {
        match outcome {
            HearOutcome::Changed => {
                self.refreshes.remove(&report.id);
                self.reports.insert(report.id.clone(), report);
                true
            }
            HearOutcome::Refreshed => {
                let refresh = EndpointRefresh {
                    id: report.id,
                    sequence: report.sequence,
                    born_ms: report.born_ms,
                };
                self.refreshes.insert(refresh.id.clone(), refresh);
                false
            }
            HearOutcome::Stale | HearOutcome::Foreign | HearOutcome::Unknown => false,
        }
    }

    /// Takes what waits, and now and then the followers; `None` without either.
    pub(super) fn take(&mut self, now: Instant, followers: Vec<String>) -> Option<ReportBatch> {
        let is_empty = self.reports.is_empty() && self.refreshes.is_empty();
        let is_due = self.told.is_none_or(|told| now >= told + FOLLOWER_INTERVAL);
        if is_empty && !is_due {
            return None;
        }
        if is_due {
            self.told = Some(now);
        }
        let reports = std::mem::take(&mut self.reports);
        let refreshes = std::mem::take(&mut self.refreshes);
        Some(ReportBatch {
            reports: reports.into_values().collect(),
            refreshes: refreshes.into_values().collect(),
            followers: if is_due { followers } else { Vec::new() },
        })
    }
}

#[cfg(test)]
#[path = "report_outbox_tests.rs"]
mod tests;
