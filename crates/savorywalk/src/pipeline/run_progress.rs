use super::{PipelineAnswer, PipelineInput, PipelineRequest, StageReport};
use crate::attempt::{StageOutcome, StageState};
use crate::configuration::StagePlan;
use crate::prelude::*;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// What the stages of a run have made so far.
#[derive(Debug)]
pub(super) struct RunProgress {
    state: StageState,
    reports: Vec<StageReport>,
    has_taken_effect: bool,
}

impl RunProgress {
    /// A run that begins with `input`, which is taken out of it.
    pub(super) fn new(input: &mut PipelineInput) -> Self {
        let state = StageState {
            input: std::mem::take(&mut input.input),
            documents: std::mem::take(&mut input.documents),
            ..StageState::default()
        };
        Self {
            state,
            reports: Vec::new(),
            has_taken_effect: false,
        }
    }

    /// What the next stage reads.
    pub(super) fn state(&self) -> &StageState {
        &self.state
    }

    /// Takes over the result of a stage that took `elapsed` in all.
    pub(super) fn complete(
        &mut self,
        stage: &StagePlan,
        idempotent: bool,
        outcome: StageOutcome,
        elapsed: Duration,
    ) {
        self.reports.push(stage_report(stage, &outcome, elapsed));
        self.has_taken_effect |= !idempotent;
        self.state.apply(stage, outcome.reply);
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

    /// The whole answer, after the last stage.
    pub(super) fn into_answer(self, request: &PipelineRequest) -> PipelineAnswer {
        PipelineAnswer {
            request_id: request.id.to_string(),
            pipeline: request.pipeline.name.clone(),
            configuration_version: request.configuration_version,
            answer: self.state.answer,
            documents: self.state.documents,
            services: self.state.services,
            elapsed_ms: millis(request.deadline.started().elapsed()),
            stages: self.reports,
        }
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

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * MILLIS_PER_SECOND
}
