use super::{AttemptError, StageReply};

/// Reason for an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LaunchKind {
    /// First attempt of the stage.
    First,
    /// New start after another attempt failed or stalled.
    Retry,
    /// Second attempt in parallel with a slow one.
    Hedge,
    /// Continues a stream that was cut or stalled, at the same endpoint.
    Resume(ResumePoint),
}

impl LaunchKind {
    /// Name of the kind in logs.
    pub fn label(&self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Retry => "retry",
            Self::Hedge => "hedge",
            Self::Resume(_) => "resume",
        }
    }
}

/// Position from which a stream is resumed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumePoint {
    /// Number of the attempt that started the stream, or resumed it last.
    pub attempt: u16,
    /// Name of the stream, as given by its engine.
    pub stream: String,
    /// Number of token events already received.
    pub offset: u64,
}

/// Final result of a stage.
#[derive(Clone, Debug, PartialEq)]
pub enum StageEnd {
    /// An attempt gave the result.
    Answered {
        /// Number of the attempt.
        attempt: u16,
        /// Complete answer of that attempt.
        reply: StageReply,
    },
    /// No attempt gave a result.
    Failed {
        /// Error to report. `None` when no endpoint serves the stage.
        error: Option<AttemptError>,
        /// True when it is proven that no attempt ran.
        not_run: bool,
    },
}

/// Action that the stage machine requests from its driver.
#[derive(Clone, Debug, PartialEq)]
pub enum StageAction {
    /// Start the attempt with this number.
    Launch(u16, LaunchKind),
    /// Abort the attempt and cancel its stream at the engine, unless another
    /// attempt reads the same stream.
    Cancel(u16),
    /// Send text to the caller.
    SendText(String),
    /// End the stage. No action follows.
    Finish(StageEnd),
}
