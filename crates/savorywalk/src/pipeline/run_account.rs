use super::PipelineError;
use crate::attempt::{StageFailure, StageOutcome, WasteTally};
use crate::configuration::{PipelinePlan, WorkspacePlan};
use crate::cost::{CostEntry, CostKey, CostLedger, WasteReason};
use crate::prelude::*;
use crate::telemetry::{MetricSet, StageLabels};

/// The costs of one run, booked once it is known whether they gave an answer.
///
/// Dropping it unsettled, as when the caller leaves, books everything as
/// cancelled, the stage in progress included.
#[derive(Debug)]
pub struct RunAccount {
    ledger: Arc<CostLedger>,
    metrics: Arc<MetricSet>,
    workspace: Arc<WorkspacePlan>,
    pipeline: Arc<PipelinePlan>,
    stages: Vec<StageCost>,
    running: Option<(usize, Instant)>,
    /// What the time of stages with results is wasted for, if it is.
    loss: Option<WasteReason>,
}

/// What one stage of the run has cost so far.
#[derive(Clone, Debug, Default)]
struct StageCost {
    stage: usize,
    results: u64,
    endpoint_time: Duration,
    tokens: u64,
    waste: WasteTally,
}

impl RunAccount {
    /// The account of a run that begins.
    pub(super) fn new(
        ledger: &Arc<CostLedger>,
        metrics: &Arc<MetricSet>,
        workspace: &Arc<WorkspacePlan>,
        pipeline: &Arc<PipelinePlan>,
    ) -> Self {
        Self {
            ledger: Arc::clone(ledger),
            metrics: Arc::clone(metrics),
            workspace: Arc::clone(workspace),
            pipeline: Arc::clone(pipeline),
            stages: Vec::with_capacity(pipeline.stages.len()),
            running: None,
            loss: Some(WasteReason::Cancelled),
        }
    }

    /// A stage goes to its endpoint.
    pub(super) fn begin(&mut self, stage: usize, now: Instant) {
        self.running = Some((stage, now));
    }

    /// The stage gave its result.
    pub(super) fn finish(&mut self, stage: usize, outcome: &StageOutcome) {
        self.running = None;
        self.stages.push(StageCost {
            stage,
            results: 1,
            endpoint_time: outcome.endpoint_time,
            tokens: outcome.reply.tokens(),
            waste: outcome.waste.clone(),
        });
    }

    /// The stage gave none.
    pub(super) fn fail(&mut self, stage: usize, failure: &StageFailure) {
        self.running = None;
        self.stages.push(StageCost {
            stage,
            waste: failure.waste.clone(),
            ..StageCost::default()
        });
    }

    /// The run has ended with an answer or an error.
    pub(super) fn settle(mut self, error: Option<&PipelineError>) {
        self.loss = error.map(loss_reason);
    }

    fn book(&self, cost: &StageCost) {
        let Some(stage) = self.pipeline.stages.get(cost.stage) else {
            return;
        };
        let labels = StageLabels {
            workspace: &self.workspace.name,
            pipeline: &self.pipeline.name,
            stage: &stage.name,
        };
        let mut entry = CostEntry {
            results: cost.results,
            tokens: cost.tokens,
            ..CostEntry::default()
        };
        match self.loss {
            None => entry.endpoint_seconds = cost.endpoint_time.as_secs_f64(),
            Some(reason) => entry.add_waste(reason, cost.endpoint_time),
        }
        for (reason, time) in cost.waste.times() {
            entry.add_waste(*reason, *time);
        }
        self.metrics.record_cost(labels, &entry);
        let key = CostKey {
            workspace: self.workspace.name.clone(),
            pipeline: self.pipeline.name.clone(),
            stage: stage.name.clone(),
        };
        self.ledger.add(key, &entry);
    }
}

impl Drop for RunAccount {
    fn drop(&mut self) {
        if let Some((stage, began)) = self.running.take() {
            self.stages.push(StageCost {
                stage,
                waste: WasteTally::from_reason(WasteReason::Cancelled, began.elapsed()),
                ..StageCost::default()
            });
        }
        for cost in &self.stages {
            self.book(cost);
        }
    }
}

/// Why the work of a run that ended with `error` is lost.
fn loss_reason(error: &PipelineError) -> WasteReason {
    match error {
        PipelineError::DeadlineExceeded { .. } => WasteReason::Late,
        PipelineError::NotRun(_)
        | PipelineError::OutcomeUnknown { .. }
        | PipelineError::StageFailed { .. }
        | PipelineError::NoEndpoint { .. } => WasteReason::FailedAttempt,
    }
}
