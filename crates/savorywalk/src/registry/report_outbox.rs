use super::{EndpointRefresh, EndpointReport, HearOutcome, ReportBatch};
use crate::prelude::*;

/// What waits to be told to the other control daemons: changes go out at once,
/// signs of life together with others, at every flush.
#[derive(Debug, Default)]
pub(super) struct ReportOutbox {
    reports: FastMap<String, EndpointReport>,
    refreshes: FastMap<String, u64>,
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
                self.refreshes.insert(report.id, report.sequence);
                false
            }
            HearOutcome::Stale | HearOutcome::Unknown => false,
        }
    }

    /// Takes what waits; `None` when nothing does.
    pub(super) fn take(&mut self, followers: u32) -> Option<ReportBatch> {
        if self.reports.is_empty() && self.refreshes.is_empty() {
            return None;
        }
        let reports = std::mem::take(&mut self.reports);
        let refreshes = std::mem::take(&mut self.refreshes);
        Some(ReportBatch {
            reports: reports.into_values().collect(),
            refreshes: refreshes
                .into_iter()
                .map(|(id, sequence)| EndpointRefresh { id, sequence })
                .collect(),
            followers,
        })
    }
}
