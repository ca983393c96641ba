use crate::prelude::*;

/// Why a claimed request got no answer of its own.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ClaimError {
    /// The key stands for another request.
    #[error(
        "this idempotency key was used for another request; send a new key for a new request, or the same body for a resend"
    )]
    Conflict,
    /// Another run of it has not ended.
    #[error(
        "the request is still running and its answer did not come in time; send it again with the same key to get the answer"
    )]
    StillRunning,
    /// The entry that ran it is gone.
    #[error(
        "entry {entry:?} died while it ran this request, which may have run; ask the service before sending it under a new key"
    )]
    OutcomeUnknown {
        /// The entry.
        entry: String,
    },
    /// It ran, and its answer is kept no longer.
    #[error(
        "the request ran to its end, but its answer is kept no longer; ask the service for the result"
    )]
    AnswerDropped,
    /// The run ended without an answer to give.
    #[error("the run was cut short; send it again with the same key to learn its outcome")]
    Interrupted,
}
