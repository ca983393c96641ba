use super::run_failure::RunFailure;
use super::run_progress::RunProgress;
use super::{PipelineAnswer, PipelineError, PipelineRequest, Result, RunAccount};
use crate::admission::{AdmissionControl, RequestPhase, RunProfile, SizeClass, StageExecution};
use crate::attempt::{AttemptError, StageDispatcher, StageRequest, StageState};
use crate::configuration::StageKind;
use crate::cost::CostLedger;
use crate::prelude::*;
use crate::routing::EndpointRouter;
use crate::telemetry::{MetricSet, RequestOutcome};

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
        let mut progress = RunProgress::new(&mut request.input);
        if let Err(refusal) = self.admission.admit(Instant::now(), &mut profile) {
            return Err(RunFailure::Denied(refusal).into_error("", phase, &progress));
        }
        for (index, stage) in profile.pipeline.stages.iter().enumerate() {
            let ran = self.run_stage(
                &request,
                &profile,
                index,
                &mut phase,
                &mut progress,
                account,
            );
            if let Err(stop) = ran.await {
                return Err(stop.into_error(&stage.name, phase, &progress));
            }
        }
        Ok(progress.into_answer(&request))
    }

    async fn run_stage(
        &self,
        request: &PipelineRequest,
        profile: &RunProfile,
        index: usize,
        phase: &mut RequestPhase,
        progress: &mut RunProgress,
        account: &mut RunAccount,
    ) -> std::result::Result<(), RunFailure> {
        let stage = &profile.pipeline.stages[index];
        let started = Instant::now();
        let own_size = SizeClass::from_bytes(progress.state().input_bytes(stage.kind));
        let execution = self.admission.enter(profile, index, own_size).await;
        let execution = execution.map_err(RunFailure::Denied)?;
        self.metrics
            .record_queue_wait(&stage.pool, started.elapsed());
        account.begin(index, Instant::now());
        let stage_request = stage_request(request, index, progress.state(), &execution);
        let idempotent = stage_request.idempotent;
        match self.dispatcher.run(stage_request, phase).await {
            Ok(outcome) => {
                execution.finish(outcome.endpoint_time + outcome.wasted_time);
                account.finish(index, &outcome);
                progress.complete(stage, idempotent, outcome, started.elapsed());
                Ok(())
            }
            Err(failure) => {
                let timed_out = failure.error == Some(AttemptError::TimedOut);
                execution.fail(failure.wasted_time, timed_out);
                account.fail(index, &failure);
                Err(RunFailure::Failed {
                    failure,
                    idempotent,
                })
            }
        }
    }
}

fn profile(request: &PipelineRequest) -> RunProfile {
    let documents: usize = request.input.documents.iter().map(String::len).sum();
    RunProfile {
        workspace: Arc::clone(&request.workspace),
        pipeline: Arc::clone(&request.pipeline),
        deadline: request.deadline,
        size: SizeClass::from_bytes(request.input.input.len() + documents),
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
    state: &'a StageState,
    execution: &StageExecution<'_>,
) -> StageRequest<'a> {
    let stage = &request.pipeline.stages[index];
    let idempotent = stage.idempotent && request.idempotent;
    let sink = request.sink.as_ref();
    StageRequest {
        request: request.id,
        index: index as u16,
        stage,
        idempotent,
        state,
        deadline: if idempotent {
            execution.deadline()
        } else {
            request.deadline
        },
        sink: sink.filter(|_| stage.kind == StageKind::Generate),
    }
}
