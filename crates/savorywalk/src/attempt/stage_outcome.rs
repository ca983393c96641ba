use super::{AttemptError, StageReply, WasteTally};
use crate::prelude::*;

/// A stage that gave its result, with what it cost.
#[derive(Debug)]
pub struct StageOutcome {
    /// The result.
    pub reply: StageReply,
    /// Endpoint that gave it.
    pub endpoint: String,
    /// Attempts made, the successful one included.
    pub attempts: u16,
    /// Endpoint time of the successful attempt, and of those it resumed.
    pub endpoint_time: Duration,
    /// Endpoint time of all other attempts.
    pub wasted_time: Duration,
    /// The same, by reason.
    pub waste: WasteTally,
}

/// A stage that gave no result.
#[derive(Debug)]
pub struct StageFailure {
    /// Failure of the attempt that tells most; `None` when no endpoint serves
    /// the stage.
    pub error: Option<AttemptError>,
    /// Endpoint time of all attempts.
    pub wasted_time: Duration,
    /// The same, by reason.
    pub waste: WasteTally,
}
