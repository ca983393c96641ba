use super::NotRun;
use crate::prelude::*;

/// Why the gateway itself answers a request, in place of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GatewayRefusal {
    /// The request can't be parsed; the text says why.
    Malformed(&'static str),
    /// No route matches its host and path.
    UnknownRoute,
    /// Its key is missing or belongs to no workspace.
    BadKey,
    /// Its body is larger than the limit.
    BodyTooLarge,
    /// No part of the request has run or will run, so it may be sent again.
    NotRun {
        /// Proof that no endpoint has run it.
        proof: NotRun,
        /// Cause of the refusal.
        reason: NotRunReason,
        /// Time after which the caller should send it again; without one, callers do so at
        /// once.
        retry_after: Option<Duration>,
    },
    /// The request may have run, and its answer is lost.
    OutcomeUnknown,
    /// Its deadline passed while an endpoint may still be working on it.
    TimedOut,
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunReason {
    /// This daemon has no configuration document yet.
    NoDocument,
    /// This daemon can't be sure that its keys and routes are still valid.
    StaleKeys,
    /// No endpoint is available for it.
    NoEndpoint,
    /// Endpoints refused it without running it.
    Denied,
    /// It can't be served in time.
    Overload,
    /// A stage failed.
    StageFailed,
    /// Its body does not fit beside those of other requests.
    MemoryFull,
    /// Its body did not arrive in time.
    BodyLate,
    /// Its deadline passed before it could be sent.
    TimeOver,
    /// Endpoints crash when they work on it.
    Quarantined,
    /// All suitable endpoints are limited and none has a permit available.
    RateLimited,
    /// All suitable endpoints have requested a back-off from this entry.
    BackedOff,
    /// It takes a stream up, and no entry knows which software version began it.
    UnknownStream,
    /// It takes a stream up, and its route has moved to other pools.
    StreamMoved,
    /// It takes a stream up, and no endpoint of the software version that began it is left.
    VersionGone,
    /// This daemon is stopping, and no endpoint has run the request.
    Stopping,
}

impl NotRunReason {
    /// Name of the reason in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoDocument => "no_document",
            Self::StaleKeys => "stale_keys",
            Self::NoEndpoint => "no_endpoint",
            Self::Denied => "denied",
            Self::Overload => "overload",
            Self::StageFailed => "stage_failed",
            Self::MemoryFull => "memory_full",
            Self::BodyLate => "body_late",
            Self::TimeOver => "time_over",
            Self::Quarantined => "quarantined",
            Self::RateLimited => "rate_limited",
            Self::BackedOff => "backed_off",
            Self::UnknownStream => "unknown_stream",
            Self::StreamMoved => "stream_moved",
            Self::VersionGone => "version_gone",
            Self::Stopping => "stopping",
        }
    }
}

impl GatewayRefusal {
    /// Name of the refusal in logs and metrics.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Malformed(_) => "malformed",
            Self::UnknownRoute => "unknown_route",
            Self::BadKey => "bad_key",
            Self::BodyTooLarge => "body_too_large",
            Self::NotRun { reason, .. } => reason.name(),
            Self::OutcomeUnknown => "outcome_unknown",
            Self::TimedOut => "timed_out",
        }
    }
}
