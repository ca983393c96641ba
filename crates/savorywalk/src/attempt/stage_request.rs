use super::{RequestId, StageState, TokenSink};
use crate::admission::RequestDeadline;
use crate::configuration::StagePlan;

/// What a dispatcher needs to know of the stage to run.
#[derive(Clone, Copy, Debug)]
pub struct StageRequest<'a> {
    /// The request that it belongs to.
    pub request: RequestId,
    /// Index of the stage in its pipeline.
    pub index: u16,
    /// The stage.
    pub stage: &'a StagePlan,
    /// False when the stage may run at most once for this request.
    pub idempotent: bool,
    /// What earlier stages made.
    pub state: &'a StageState,
    /// When the request must be answered.
    pub deadline: RequestDeadline,
    /// Where generated text goes as it arrives.
    pub sink: Option<&'a TokenSink>,
}
