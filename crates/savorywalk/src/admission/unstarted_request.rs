use crate::prelude::*;

/// A request of which no endpoint has received any part.
///
/// [`UnstartedRequest::refuse`] makes the [`RunRefusal`], and the first dispatch consumes this
/// value. So a request that may have run can't be reported as "not run".
#[derive(Debug)]
pub struct UnstartedRequest {
    _private: (),
}

/// Proof that an attempt ran at no endpoint. Either the connection was refused before a byte
/// was sent, or the endpoint answered that it ran nothing.
#[derive(Debug)]
pub struct AttemptNotRun {
    _private: (),
}

/// Token of a request's first attempt, which [`RequestPhase::revert`] requires.
#[derive(Debug)]
pub struct FirstDispatch {
    _private: (),
}

/// Whether any endpoint may have received a part of the request.
#[derive(Debug)]
pub struct RequestPhase {
    unstarted: Option<UnstartedRequest>,
}

/// Refusal of a request of which no part ran.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("not run: {reason}; send it again after {} s", retry_after.as_secs().max(1))]
pub struct RunRefusal {
    /// Why it was refused.
    pub reason: RefusalReason,
    /// Time after which a retry may succeed.
    pub retry_after: Duration,
}

/// Why a request was refused before any part of it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RefusalReason {
    /// The daemon's limit of requests in progress is reached.
    #[error("too many requests are in progress")]
    TooMany,
    /// By current estimates the request can't meet its deadline.
    #[error("the deadline can't be met")]
    DeadlineTooShort,
    /// No endpoint serves the pool that the first stage needs.
    #[error("no endpoint serves the first stage")]
    NoEndpoint,
    /// The workspace is over its share while capacity is short.
    #[error("the workspace is over its share")]
    OverShare,
    /// The daemon is stopping.
    #[error("the daemon is stopping")]
    Stopping,
    /// The daemon can't confirm that its configuration is the current one.
    #[error("the configuration can't be confirmed")]
    StaleConfiguration,
    /// The claim of a non-idempotent request can't be recorded.
    #[error("its claim can't be recorded")]
    ClaimNotRecorded,
}

impl RefusalReason {
    /// Value of the reason label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::TooMany => "too_many",
            Self::DeadlineTooShort => "deadline_too_short",
            Self::NoEndpoint => "no_endpoint",
            Self::OverShare => "over_share",
            Self::Stopping => "stopping",
            Self::StaleConfiguration => "stale_configuration",
            Self::ClaimNotRecorded => "claim_not_recorded",
        }
    }
}

impl UnstartedRequest {
    /// Refuses the request as not run, for a retry after `retry_after`.
    pub fn refuse(self, reason: RefusalReason, retry_after: Duration) -> RunRefusal {
        RunRefusal {
            reason,
            retry_after,
        }
    }
}

impl RequestPhase {
    /// Creates the phase of a request that has just arrived.
    pub(crate) fn new() -> Self {
        Self {
            unstarted: Some(UnstartedRequest { _private: () }),
        }
    }

    /// Marks the request as dispatched. Must be called before the first byte of an attempt is
    /// sent to an endpoint. Returns a [`FirstDispatch`] for the request's first attempt only.
    pub fn dispatch(&mut self) -> Option<FirstDispatch> {
        self.unstarted
            .take()
            .map(|_| FirstDispatch { _private: () })
    }

    /// Marks the request as unstarted again, on proof that its first and only attempt didn't
    /// run.
    pub fn revert(&mut self, _first: FirstDispatch, _proof: AttemptNotRun) {
        self.unstarted = Some(UnstartedRequest { _private: () });
    }

    /// Returns the unstarted request, from which a refusal can be made, if nothing has run.
    pub fn into_unstarted(self) -> Option<UnstartedRequest> {
        self.unstarted
    }
}

impl AttemptNotRun {
    /// Creates the proof. Only the module `attempt` does so, where it examines why an attempt
    /// failed.
    pub(crate) fn proven() -> Self {
        Self { _private: () }
    }
}

#[cfg(test)]
#[path = "unstarted_request_tests.rs"]
mod tests;
