use super::answer_memory::AnswerLimit;
use crate::prelude::*;

/// Why a stream failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(super) enum StreamFailure {
    /// The connection ended before the stream.
    #[error("{0}")]
    Cut(String),
    /// The connection was closed as after a complete answer, but the stream is not complete.
    #[error("the stream ended within an event or without any")]
    Unfinished,
    /// The connection was closed as after a complete answer, but the endpoint has crashed.
    #[error("the endpoint accepts no connections after an end that only its connection shows")]
    Crashed,
    #[error("no event in time")]
    TimedOut,
    #[error("a frame without data")]
    NoData,
    /// What the endpoint sends is no stream of events, or too much is held of it.
    #[error("{0}")]
    TooLarge(AnswerLimit),
    /// The endpoint was silent, and the one that the stream was handed over to has failed.
    #[error("no event in time, and its replacement failed: {0}")]
    HandedOver(String),
}
