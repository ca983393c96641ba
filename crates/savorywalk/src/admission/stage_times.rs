use super::RunForecast;
use crate::prelude::*;

/// Estimated times of a stage that is about to run and of the stages after it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StageTimes {
    /// Expected endpoint time of the stage.
    pub cost: Duration,
    /// Expected time from the stage's start to the request's answer.
    pub rest: RunForecast,
    /// Expected time of the stages after it.
    pub later: RunForecast,
}
