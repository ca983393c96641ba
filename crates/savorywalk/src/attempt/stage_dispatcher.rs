use super::stage_run::StageRun;
use super::{
    AttemptError, BudgetTable, EndpointClient, ProgressTable, StageCall, StageFailure,
    StageOutcome, StageRequest, WasteTally,
};
use crate::admission::RequestPhase;
use crate::directory::DirectoryHandle;
use crate::prelude::*;
use crate::routing::{AttemptReport, EndpointRouter};
use crate::telemetry::AttemptMetrics;

/// Runs stages of requests: picks endpoints, and makes attempts and permitted
/// retries.
#[derive(Debug)]
pub struct StageDispatcher {
    pub(super) router: EndpointRouter,
    pub(super) client: EndpointClient,
    pub(super) directory: DirectoryHandle,
    pub(super) budgets: BudgetTable,
    pub(super) progress_table: ProgressTable,
    pub(super) metrics: AttemptMetrics,
}

impl StageDispatcher {
    /// Creates a dispatcher that picks endpoints by `router`.
    pub fn new(
        router: EndpointRouter,
        client: EndpointClient,
        directory: DirectoryHandle,
        metrics: AttemptMetrics,
    ) -> Self {
        Self {
            router,
            client,
            directory,
            budgets: BudgetTable::default(),
            progress_table: ProgressTable::default(),
            metrics,
        }
    }

    /// Returns the router, which also receives the endpoints' cache events.
    pub fn router(&self) -> &EndpointRouter {
        &self.router
    }

    /// Runs the stage. Afterwards, `phase` shows whether any endpoint may have
    /// received a part of the request.
    pub async fn run(
        &self,
        request: StageRequest<'_>,
        phase: &mut RequestPhase,
    ) -> Result<StageOutcome, StageFailure> {
        let call = match StageCall::new(request.stage, request.state) {
            Ok(call) => call,
            Err(error) => return Err(unsent(error)),
        };
        if request.deadline.has_passed(Instant::now()) {
            return Err(unsent(AttemptError::Expired));
        }
        StageRun::new(self, request, &call).drive(phase).await
    }

    pub(super) fn report(&self, now: Instant, pool: &str, endpoint: &str, report: AttemptReport) {
        let directory = self.directory.snapshot();
        if self.router.report(now, &directory, pool, endpoint, report) {
            log_event!(warn, "endpoint_ejected", pool = pool, endpoint = endpoint);
            self.metrics.record_ejection(pool);
        }
    }
}

fn unsent(error: AttemptError) -> StageFailure {
    StageFailure {
        error: Some(error),
        wasted_time: Duration::ZERO,
        waste: WasteTally::default(),
    }
}
