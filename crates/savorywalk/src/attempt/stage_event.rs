use super::{AttemptError, StageReply};

/// One token event of a completion stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenEvent {
    /// Number of token events before this one, if the engine sends it.
    pub offset: Option<u64>,
    /// Text that the event adds.
    pub text: String,
}

/// Event of one attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptEvent {
    /// No endpoint was available for the attempt.
    NoEndpoint,
    /// The engine sent the name of the stream, by which it can be resumed.
    StreamNamed(String),
    /// A token event arrived.
    Token(TokenEvent),
    /// The stream reached its end marker. Carries the number of tokens that the
    /// engine counted.
    StreamEnded(u64),
    /// A complete answer arrived that is not streamed.
    Answered(StageReply),
    /// The attempt ended without a result.
    Failed(AttemptError),
    /// The attempt exceeded its limit for time without progress.
    Stalled,
}

/// Event of a stage, input of its state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum StageEvent {
    /// Event of the attempt with this number.
    Attempt(u16, AttemptEvent),
    /// The hedge delay has passed since the first attempt started.
    HedgeDue,
    /// The request's deadline has passed.
    DeadlinePassed,
}
