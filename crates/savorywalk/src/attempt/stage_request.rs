use super::{RequestId, StageState, TokenSink};
use crate::admission::RequestDeadline;
use crate::configuration::StagePlan;

/// Parameters of a stage to run.
#[derive(Clone, Copy, Debug)]
pub struct StageRequest<'a> {
    /// Request that the stage belongs to.
    pub request: RequestId,
    /// Index of the stage in its pipeline.
    pub index: u16,
    /// Definition of the stage from the configuration.
    pub stage: &'a StagePlan,
    /// False when the stage may run at most once for this request.
    pub idempotent: bool,
    /// Input of the request and results of earlier stages.
    pub state: &'a StageState,
    /// Deadline of the request.
    pub deadline: RequestDeadline,
    /// Channel for generated text as it arrives. `None` if the caller gets only
    /// the complete answer.
    pub sink: Option<&'a TokenSink>,
}
