use crate::admission::AttemptNotRun;
use crate::prelude::*;

/// Error of an attempt that gave no result.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AttemptError {
    /// The connection was refused before a byte of the request was sent.
    #[error("the endpoint can't be reached: {0}; check that it runs and that its address is right")]
    Unreachable(String),
    /// The endpoint answered that it did not run the request.
    #[error("the endpoint is not taking work: {0}; try another one")]
    Refused(String),
    /// The request is invalid: the endpoint answered with a 4xx status other
    /// than 429, or the request could not be built.
    #[error("the endpoint rejected the request with status {status}: {message}; mend the request")]
    Rejected {
        /// HTTP status.
        status: u16,
        /// Message from the endpoint's error body.
        message: String,
    },
    /// The endpoint answered with an error that leaves open whether the work ran.
    #[error("the endpoint failed with status {status}: {message}; look at its log")]
    Failed {
        /// HTTP status.
        status: u16,
        /// Message from the endpoint's error body.
        message: String,
    },
    /// The connection failed, or the answer ended before its end marker.
    #[error("the answer was cut: {0}; look at the endpoint and the network to it")]
    Cut(String),
    /// The answer could not be parsed.
    #[error("the answer can't be read: {0}; check the endpoint's version")]
    Unreadable(String),
    /// The answer does not name this attempt in its attempt header.
    #[error(
        "the answer is for another attempt: {0}; check the endpoint's echo of the attempt header"
    )]
    WrongAttempt(String),
    /// The engine no longer stores the stream to be resumed.
    #[error("the engine can't resume the stream: {0}; let it keep streams for longer")]
    UnknownStream(String),
    /// The text of a retry differs from the text already sent to the caller.
    #[error("the retried text differs from what was passed on; send the request again")]
    Diverged,
    /// The maximum number of connections to the endpoint, given here, is in use.
    #[error("all {0} connections to the endpoint are in use; add endpoints to its pool")]
    NoConnection(u32),
    /// The deadline passed, and it is proven that no attempt ran.
    #[error("the deadline passed before the request could be sent; allow more time")]
    Expired,
    /// The attempt stalled, or the deadline passed after work may have begun.
    #[error("no answer came in time; look at the endpoint's load")]
    TimedOut,
}

impl AttemptError {
    /// Returns proof that the endpoint ran nothing, if the error implies it.
    pub fn not_run(&self) -> Option<AttemptNotRun> {
        match self {
            Self::Unreachable(_) | Self::NoConnection(_) | Self::Refused(_) | Self::Expired => {
                Some(AttemptNotRun::proven())
            }
            Self::Rejected { .. }
            | Self::Failed { .. }
            | Self::Cut(_)
            | Self::Unreadable(_)
            | Self::WrongAttempt(_)
            | Self::UnknownStream(_)
            | Self::Diverged
            | Self::TimedOut => None,
        }
    }

    /// Whether no byte of the request was sent.
    pub fn is_unsent(&self) -> bool {
        match self {
            Self::Unreachable(_) | Self::NoConnection(_) | Self::Expired => true,
            Self::Refused(_)
            | Self::Rejected { .. }
            | Self::Failed { .. }
            | Self::Cut(_)
            | Self::Unreadable(_)
            | Self::WrongAttempt(_)
            | Self::UnknownStream(_)
            | Self::Diverged
            | Self::TimedOut => false,
        }
    }

    /// Whether the same request may succeed at another endpoint.
    pub fn is_retryable(&self) -> bool {
        match self {
            Self::Rejected { .. } | Self::Diverged | Self::Expired => false,
            Self::Unreachable(_)
            | Self::NoConnection(_)
            | Self::Refused(_)
            | Self::Failed { .. }
            | Self::Cut(_)
            | Self::Unreadable(_)
            | Self::WrongAttempt(_)
            | Self::UnknownStream(_)
            | Self::TimedOut => true,
        }
    }

    /// Whether the engine may still store the attempt's stream, to be resumed.
    pub fn may_leave_stream(&self) -> bool {
        match self {
            Self::Cut(_) | Self::TimedOut => true,
            Self::Unreachable(_)
            | Self::NoConnection(_)
            | Self::Refused(_)
            | Self::Rejected { .. }
            | Self::Failed { .. }
            | Self::Unreadable(_)
            | Self::WrongAttempt(_)
            | Self::UnknownStream(_)
            | Self::Diverged
            | Self::Expired => false,
        }
    }

    /// Whether the error counts as a failure of the endpoint in its health.
    pub fn is_endpoint_failure(&self) -> bool {
        match self {
            Self::Rejected { .. }
            | Self::UnknownStream(_)
            | Self::Diverged
            | Self::NoConnection(_)
            | Self::Expired => false,
            Self::Unreachable(_)
            | Self::Refused(_)
            | Self::Failed { .. }
            | Self::Cut(_)
            | Self::Unreadable(_)
            | Self::WrongAttempt(_)
            | Self::TimedOut => true,
        }
    }

    /// Whether the request certainly had no effect: the endpoint ran nothing,
    /// or rejected the request as invalid.
    pub fn outcome_is_known(&self) -> bool {
        match self {
            Self::Unreachable(_)
            | Self::NoConnection(_)
            | Self::Refused(_)
            | Self::Rejected { .. }
            | Self::Expired => true,
            Self::Failed { .. }
            | Self::Cut(_)
            | Self::Unreadable(_)
            | Self::WrongAttempt(_)
            | Self::UnknownStream(_)
            | Self::Diverged
            | Self::TimedOut => false,
        }
    }
}
