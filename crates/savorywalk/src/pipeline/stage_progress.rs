use super::StageReport;

/// The stages of a run that gave their results.
#[derive(Debug, Default)]
pub(super) struct StageProgress {
    reports: Vec<StageReport>,
    has_taken_effect: bool,
}

impl StageProgress {
    pub(super) fn complete(&mut self, idempotent: bool, report: StageReport) {
        self.reports.push(report);
        self.has_taken_effect |= !idempotent;
    }

    /// Names of the completed stages once a non-idempotent one is among them:
    /// a caller must know them before sending the request again. Empty before.
    pub(super) fn completed_stages(&self) -> Vec<String> {
        if !self.has_taken_effect {
            return Vec::new();
        }
        let names = self.reports.iter().map(|report| report.stage.clone());
        names.collect()
    }

    pub(super) fn into_reports(self) -> Vec<StageReport> {
        self.reports
    }
}
