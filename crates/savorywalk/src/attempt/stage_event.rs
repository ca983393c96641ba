use super::{AttemptError, StageReply};

/// One token event of a completion stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamPiece {
    /// Token events before it, where the engine tells.
    pub offset: Option<u64>,
    /// Its text.
    pub text: String,
}

/// What happened to an attempt of a stage.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptEvent {
    /// No endpoint could be picked for it.
    NoEndpoint,
    /// The engine named the stream, so that it can be resumed.
    StreamNamed(String),
    /// A token event came.
    Piece(StreamPiece),
    /// The stream came to its end marker; the engine counted this many tokens.
    StreamEnded(u64),
    /// The whole answer came, other than as a stream.
    Answered(StageReply),
    /// It gave no result.
    Failed(AttemptError),
    /// It made no progress for too long.
    Stalled,
}

/// What happened in a stage.
#[derive(Clone, Debug, PartialEq)]
pub enum StageEvent {
    /// Something happened to the attempt of this number.
    Attempt(u16, AttemptEvent),
    /// The first attempt has taken longer than nearly all do.
    HedgeDue,
    /// The request's deadline has passed.
    DeadlinePassed,
}
