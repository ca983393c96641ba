use super::{AttemptError, StageReply, WasteTally};
use crate::prelude::*;

/// Result and endpoint time of a successful stage.
#[derive(Debug)]
pub struct StageOutcome {
    /// Complete answer of the stage.
    pub reply: StageReply,
    /// Endpoint that gave the answer.
    pub endpoint: String,
    /// Number of attempts sent, the successful one included.
    pub attempts: u16,
    /// Endpoint time of the successful attempt and of those it resumed.
    pub endpoint_time: Duration,
    /// Endpoint time of all other attempts.
    pub wasted_time: Duration,
    /// `wasted_time` by reason.
    pub waste: WasteTally,
}

/// Error and endpoint time of a failed stage.
#[derive(Debug)]
pub struct StageFailure {
    /// Error of the most relevant attempt. `None` when no endpoint serves the
    /// stage.
    pub error: Option<AttemptError>,
    /// Endpoint time of all attempts.
    pub wasted_time: Duration,
    /// `wasted_time` by reason.
    pub waste: WasteTally,
}
