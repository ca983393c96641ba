use super::stage_progress::StageProgress;
use super::{PipelineAnswer, PipelineError, PipelineRequest, Result, RunAccount, StageReport};
use crate::admission::{
    AdmissionControl, AdmissionRefusal, RefusalReason, RequestPhase, RunProfile, SizeClass,
    StageVisit,
};
use crate::attempt::{
    AttemptError, StageDispatcher, StageFailure, StageOutcome, StageRequest, StageState,
};
use crate::configuration::{StageKind, StagePlan};
use crate::cost::{CostLedger, WasteReason};
use crate::prelude::*;
use crate::routing::EndpointRouter;
use crate::telemetry::{MetricSet, RequestOutcome};

const MILLIS_PER_SECOND: f64 = 1_000.0;
/// Advice to a caller whose first stage nobody serves: a lease is renewed within it.
const NO_ENDPOINT_RETRY: Duration = Duration::from_secs(2);
/// Advice to a caller whose deadline passed while an endpoint refused the work.
const DEADLINE_RETRY: Duration = Duration::from_secs(1);

/// Carries requests through their pipelines.
#[derive(Debug)]
pub struct PipelineRunner {
    dispatcher: StageDispatcher,
    admission: AdmissionControl,
    ledger: Arc<CostLedger>,
    metrics: Arc<MetricSet>,
}

impl PipelineRunner {
    /// A runner that admits by `admission` and records costs in `ledger` and
    /// `metrics`.
    pub fn new(
        dispatcher: StageDispatcher,
        admission: AdmissionControl,
        ledger: Arc<CostLedger>,
        metrics: Arc<MetricSet>,
    ) -> Self {
        Self {
            dispatcher,
            admission,
            ledger,
            metrics,
        }
    }

    /// The admission control, for usage and status.
    pub fn admission(&self) -> &AdmissionControl {
        &self.admission
    }

    /// The router, to tell it what endpoints announce of their caches.
    pub fn router(&self) -> &EndpointRouter {
        self.dispatcher.router()
    }

    /// Runs a request to its answer or its error.
    pub async fn run(&self, request: PipelineRequest) -> Result<PipelineAnswer> {
        let pipeline = Arc::clone(&request.pipeline);
        let started = request.deadline.started();
        let workspace = &request.workspace;
        let mut account = RunAccount::new(&self.ledger, &self.metrics, workspace, &pipeline);
        let result = self.run_stages(request, &mut account).await;
        account.settle(result.as_ref().err());
        let outcome = match &result {
            Ok(_) => RequestOutcome::Answered,
            Err(error) => RequestOutcome::Failed(error.kind()),
        };
        if let Err(PipelineError::NotRun(refusal)) = &result {
            self.metrics.record_refusal(refusal.reason.label());
        }
        self.metrics
            .record_request(&pipeline.name, outcome, started.elapsed());
        result
    }

    async fn run_stages(
        &self,
        mut request: PipelineRequest,
        account: &mut RunAccount,
    ) -> Result<PipelineAnswer> {
        let mut phase = std::mem::replace(&mut request.phase, RequestPhase::new());
        let mut profile = profile(&request);
        let now = Instant::now();
        if let Err(refusal) = self.admission.admit(now, &mut profile) {
            return Err(refusal_error("", refusal, phase, &StageProgress::default()));
        }
        let mut state = StageState {
            input: std::mem::take(&mut request.input.input),
            documents: std::mem::take(&mut request.input.documents),
            ..StageState::default()
        };
        let mut progress = StageProgress::default();
        for (index, stage) in profile.pipeline.stages.iter().enumerate() {
            let stage_started = Instant::now();
            let own_size = SizeClass::of(state.input_bytes(stage.kind));
            let visit = match self.admission.enter(&profile, index, own_size).await {
                Ok(visit) => visit,
                Err(refusal) => return Err(refusal_error(&stage.name, refusal, phase, &progress)),
            };
            self.metrics
                .record_queue_wait(&stage.pool, stage_started.elapsed());
            account.begin(index, Instant::now());
            let stage_request = stage_request(&request, index, stage, &state, &visit);
            let idempotent = stage_request.idempotent;
            let outcome = match self.dispatcher.run(stage_request, &mut phase).await {
                Ok(outcome) => outcome,
                Err(failure) => {
                    let timed_out = failure.error == Some(AttemptError::TimedOut);
                    visit.fail(failure.wasted_time, timed_out);
                    account.fail(index, &failure, waste_reason(timed_out));
                    return Err(failure_error(stage, idempotent, failure, phase, &progress));
                }
            };
            visit.finish(outcome.endpoint_time + outcome.wasted_time);
            account.finish(index, &outcome);
            progress.complete(
                idempotent,
                stage_report(stage, &outcome, stage_started.elapsed()),
            );
            state.apply(stage, outcome.reply);
        }
        Ok(PipelineAnswer {
            request_id: request.id.to_string(),
            pipeline: profile.pipeline.name.clone(),
            configuration_version: request.configuration_version,
            answer: state.answer,
            documents: state.documents,
            services: state.services,
            elapsed_ms: millis(request.deadline.started().elapsed()),
            stages: progress.into_reports(),
        })
    }
}

fn profile(request: &PipelineRequest) -> RunProfile {
    let documents: usize = request.input.documents.iter().map(String::len).sum();
    RunProfile {
        workspace: Arc::clone(&request.workspace),
        pipeline: Arc::clone(&request.pipeline),
        deadline: request.deadline,
        size: SizeClass::of(request.input.input.len() + documents),
        priority: request.priority,
        is_probe: false,
    }
}

/// What the dispatcher runs. An idempotent stage is given up as soon as the
/// later ones can't fit any more; a non-idempotent one has all the time that is
/// left, for giving it up early would leave its outcome unknown.
fn stage_request<'a>(
    request: &'a PipelineRequest,
    index: usize,
    stage: &'a StagePlan,
    state: &'a StageState,
    visit: &StageVisit<'_>,
) -> StageRequest<'a> {
    let idempotent = stage.idempotent && request.idempotent;
    let sink = request.sink.as_ref();
    StageRequest {
        request: request.id,
        index: index as u16,
        stage,
        idempotent,
        state,
        deadline: if idempotent {
            visit.deadline()
        } else {
            request.deadline
        },
        sink: sink.filter(|_| stage.kind == StageKind::Generate),
    }
}

fn waste_reason(timed_out: bool) -> WasteReason {
    if timed_out {
        WasteReason::Late
    } else {
        WasteReason::FailedAttempt
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

/// A stage that got no turn: "not run" when it would have been the first.
fn refusal_error(
    stage: &str,
    refusal: AdmissionRefusal,
    phase: RequestPhase,
    progress: &StageProgress,
) -> PipelineError {
    match phase.into_unstarted() {
        Some(unstarted) => unstarted.refuse(refusal.reason, refusal.retry_after).into(),
        None => PipelineError::DeadlineExceeded {
            stage: stage.to_string(),
            completed_stages: progress.completed_stages(),
        },
    }
}

/// The honest error: "not run" only from a request that nothing has seen, and
/// "outcome unknown" wherever a non-idempotent stage may have run.
fn failure_error(
    stage: &StagePlan,
    idempotent: bool,
    failure: StageFailure,
    phase: RequestPhase,
    progress: &StageProgress,
) -> PipelineError {
    if let Some(unstarted) = phase.into_unstarted() {
        let (reason, retry_after) = match failure.error {
            Some(AttemptError::TimedOut | AttemptError::Expired) => {
                (RefusalReason::DeadlineTooShort, DEADLINE_RETRY)
            }
            Some(_) | None => (RefusalReason::NoEndpoint, NO_ENDPOINT_RETRY),
        };
        return unstarted.refuse(reason, retry_after).into();
    }
    let stage = stage.name.clone();
    let completed_stages = progress.completed_stages();
    match failure.error {
        None => PipelineError::NoEndpoint {
            stage,
            completed_stages,
        },
        Some(reason) if !idempotent && !reason.outcome_is_known() => {
            PipelineError::OutcomeUnknown {
                stage,
                reason,
                completed_stages,
            }
        }
        Some(AttemptError::TimedOut | AttemptError::Expired) => PipelineError::DeadlineExceeded {
            stage,
            completed_stages,
        },
        Some(reason) => PipelineError::StageFailed {
            stage,
            reason,
            completed_stages,
        },
    }
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * MILLIS_PER_SECOND
}
