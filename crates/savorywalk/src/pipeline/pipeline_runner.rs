use super::{PipelineAnswer, PipelineError, PipelineRequest, Result, StageReport};
use crate::admission::{RefusalReason, RequestPhase};
use crate::attempt::{
    AttemptError, StageDispatcher, StageFailure, StageOutcome, StageRequest, StageState,
};
use crate::configuration::{StageKind, StagePlan};
use crate::cost::{CostEntry, CostKey, CostLedger};
use crate::prelude::*;
use crate::telemetry::{MetricSet, RequestOutcome, StageLabels};

const MILLIS_PER_SECOND: f64 = 1_000.0;
/// Advice to a caller whose first stage nobody serves: a lease is renewed within it.
const NO_ENDPOINT_RETRY: Duration = Duration::from_secs(2);
/// Advice to a caller whose deadline was too short for the queue as it is.
const DEADLINE_RETRY: Duration = Duration::from_secs(1);

/// Carries requests through their pipelines.
#[derive(Debug)]
pub struct PipelineRunner {
    dispatcher: StageDispatcher,
    ledger: Arc<CostLedger>,
    metrics: Arc<MetricSet>,
}

impl PipelineRunner {
    /// A runner that records costs in `ledger` and `metrics`.
    pub fn new(
        dispatcher: StageDispatcher,
        ledger: Arc<CostLedger>,
        metrics: Arc<MetricSet>,
    ) -> Self {
        Self {
            dispatcher,
            ledger,
            metrics,
        }
    }

    /// Runs a request to its answer or its error.
    pub async fn run(&self, request: PipelineRequest) -> Result<PipelineAnswer> {
        let pipeline = Arc::clone(&request.pipeline);
        let started = request.deadline.started();
        let result = self.run_stages(request).await;
        let outcome = match &result {
            Ok(_) => RequestOutcome::Answered,
            Err(error) => RequestOutcome::Failed(error.kind()),
        };
        self.metrics
            .record_request(&pipeline.name, outcome, started.elapsed());
        result
    }

    async fn run_stages(&self, mut request: PipelineRequest) -> Result<PipelineAnswer> {
        let pipeline = Arc::clone(&request.pipeline);
        let mut state = StageState {
            input: std::mem::take(&mut request.input.input),
            documents: std::mem::take(&mut request.input.documents),
            ..StageState::default()
        };
        let mut phase = std::mem::replace(&mut request.phase, RequestPhase::new());
        let mut reports = Vec::with_capacity(pipeline.stages.len());
        for (index, stage) in pipeline.stages.iter().enumerate() {
            let sink = request
                .sink
                .as_ref()
                .filter(|_| stage.kind == StageKind::Generate);
            let stage_request = StageRequest {
                request: request.id,
                index: index as u16,
                stage,
                idempotent: stage.idempotent && request.idempotent,
                state: &state,
                deadline: request.deadline,
                sink,
            };
            let stage_started = Instant::now();
            let outcome = match self.dispatcher.run(stage_request, &mut phase).await {
                Ok(outcome) => outcome,
                Err(failure) => {
                    self.record_waste(&request, stage, failure.wasted_time);
                    let idempotent = stage_request.idempotent;
                    return Err(failure_error(stage, idempotent, failure, phase));
                }
            };
            self.record(&request, stage, &outcome);
            reports.push(stage_report(stage, &outcome, stage_started.elapsed()));
            state.apply(stage, outcome.reply);
        }
        Ok(PipelineAnswer {
            request_id: request.id.to_string(),
            pipeline: pipeline.name.clone(),
            configuration_version: request.configuration_version,
            answer: state.answer,
            documents: state.documents,
            services: state.services,
            elapsed_ms: millis(request.deadline.started().elapsed()),
            stages: reports,
        })
    }

    fn record(&self, request: &PipelineRequest, stage: &StagePlan, outcome: &StageOutcome) {
        let tokens = outcome.reply.tokens();
        self.metrics
            .record_stage(labels(request, stage), outcome.endpoint_time, tokens);
        let entry = CostEntry {
            results: 1,
            endpoint_seconds: outcome.endpoint_time.as_secs_f64(),
            tokens,
            ..CostEntry::default()
        };
        self.ledger.add(cost_key(request, stage), entry);
        self.record_waste(request, stage, outcome.wasted_time);
    }

    fn record_waste(&self, request: &PipelineRequest, stage: &StagePlan, wasted: Duration) {
        if wasted.is_zero() {
            return;
        }
        self.metrics.record_waste(labels(request, stage), wasted);
        let entry = CostEntry {
            wasted_seconds: wasted.as_secs_f64(),
            ..CostEntry::default()
        };
        self.ledger.add(cost_key(request, stage), entry);
    }
}

fn labels<'a>(request: &'a PipelineRequest, stage: &'a StagePlan) -> StageLabels<'a> {
    StageLabels {
        workspace: &request.workspace.name,
        pipeline: &request.pipeline.name,
        stage: &stage.name,
    }
}

fn cost_key(request: &PipelineRequest, stage: &StagePlan) -> CostKey {
    CostKey {
        workspace: request.workspace.name.clone(),
        pipeline: request.pipeline.name.clone(),
        stage: stage.name.clone(),
    }
}

fn stage_report(stage: &StagePlan, outcome: &StageOutcome, elapsed: Duration) -> StageReport {
    StageReport {
        stage: stage.name.clone(),
        endpoint: outcome.endpoint.clone(),
        attempts: outcome.attempts,
        elapsed_ms: millis(elapsed),
        endpoint_ms: millis(outcome.endpoint_time),
        wasted_ms: millis(outcome.wasted_time),
        tokens: outcome.reply.tokens(),
    }
}

/// The honest error: "not run" only from a request that nothing has seen, and
/// "outcome unknown" wherever a non-idempotent stage may have run.
fn failure_error(
    stage: &StagePlan,
    idempotent: bool,
    failure: StageFailure,
    phase: RequestPhase,
) -> PipelineError {
    if let Some(unstarted) = phase.into_unstarted() {
        let (reason, retry_after) = match failure.error {
            Some(AttemptError::TimedOut) => (RefusalReason::DeadlineTooShort, DEADLINE_RETRY),
            Some(_) | None => (RefusalReason::NoEndpoint, NO_ENDPOINT_RETRY),
        };
        return unstarted.refuse(reason, retry_after).into();
    }
    let stage_name = stage.name.clone();
    match failure.error {
        None => PipelineError::NoEndpoint { stage: stage_name },
        Some(reason) if !idempotent && !reason.outcome_is_known() => {
            PipelineError::OutcomeUnknown {
                stage: stage_name,
                reason,
            }
        }
        Some(AttemptError::TimedOut) => PipelineError::DeadlineExceeded { stage: stage_name },
        Some(reason) => PipelineError::StageFailed {
            stage: stage_name,
            reason,
        },
    }
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * MILLIS_PER_SECOND
}
