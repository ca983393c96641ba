use super::PipelineError;
use super::run_progress::RunProgress;
use crate::admission::{AdmissionRefusal, RefusalReason, RequestPhase};
use crate::attempt::{AttemptError, StageFailure};
use crate::prelude::*;

/// Advice to a caller whose first stage nobody serves: a lease is renewed within it.
const NO_ENDPOINT_RETRY: Duration = Duration::from_secs(2);
/// Advice to a caller whose deadline passed while an endpoint refused the work.
const DEADLINE_RETRY: Duration = Duration::from_secs(1);

/// Why a run went no further than a stage.
#[derive(Debug)]
pub(super) enum RunFailure {
    /// The stage got no turn.
    Denied(AdmissionRefusal),
    /// The stage gave no result.
    Failed {
        failure: StageFailure,
        idempotent: bool,
    },
}

impl RunFailure {
    /// The honest error: "not run" only from a request that nothing has seen,
    /// and "outcome unknown" wherever a non-idempotent stage may have run.
    pub(super) fn into_error(
        self,
        stage: &str,
        phase: RequestPhase,
        progress: &RunProgress,
    ) -> PipelineError {
        if let Some(unstarted) = phase.into_unstarted() {
            let (reason, retry_after) = self.refusal();
            return unstarted.refuse(reason, retry_after).into();
        }
        let stage = stage.to_string();
        let completed_stages = progress.completed_stages();
        match self {
            Self::Denied(_) => PipelineError::DeadlineExceeded {
                stage,
                completed_stages,
            },
            Self::Failed {
                failure,
                idempotent,
            } => failure_error(failure, idempotent, stage, completed_stages),
        }
    }

    fn refusal(&self) -> (RefusalReason, Duration) {
        match self {
            Self::Denied(refusal) => (refusal.reason, refusal.retry_after),
            Self::Failed { failure, .. } => match failure.error {
                Some(AttemptError::TimedOut | AttemptError::Expired) => {
                    (RefusalReason::DeadlineTooShort, DEADLINE_RETRY)
                }
                Some(_) | None => (RefusalReason::NoEndpoint, NO_ENDPOINT_RETRY),
            },
        }
    }
}

fn failure_error(
    failure: StageFailure,
    idempotent: bool,
    stage: String,
    completed_stages: Vec<String>,
) -> PipelineError {
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
