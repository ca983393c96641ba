use super::RunForecast;
use crate::prelude::*;

/// What the estimates say of a stage that is about to run.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StageTimes {
    /// Endpoint time that it is expected to take.
    pub cost: Duration,
    /// Time from its start to the request's answer.
    pub rest: RunForecast,
    /// Time of the stages after it.
    pub later: RunForecast,
}
