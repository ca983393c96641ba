use super::NotRun;
use crate::prelude::*;

/// Why the gateway itself ends a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GatewayRefusal {
    /// The request can't be read.
    Malformed(&'static str),
    /// No route takes it.
    UnknownRoute,
    /// Its key is missing or belongs to nobody.
    BadKey,
    /// Its body is too large.
    BodyTooLarge,
    /// No part of it has run or will run; it may come back.
    NotRun {
        /// Proof of that.
        proof: NotRun,
        /// Why.
        reason: NotRunReason,
        /// When coming back makes sense.
        retry_after: Duration,
    },
    /// It may have run, and its answer is lost.
    OutcomeUnknown,
    /// Its time is over while an endpoint may still work on it.
    TimedOut,
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunReason {
    /// This daemon has no document yet.
    NoDocument,
    /// This daemon can't be sure that the key still counts.
    StaleKeys,
    /// No endpoint takes work.
    NoEndpoint,
    /// Endpoints refused it.
    Denied,
    /// It can't be served in its time.
    Overload,
    /// A stage failed.
    StageFailed,
    /// Its body did not come in time.
    BodyLate,
    /// Its time was over before it could be sent.
    TimeOver,
    /// Endpoints crash under it.
    Quarantined,
    /// All suitable endpoints are limited and none has a permit available.
    RateLimited,
    /// All suitable endpoints have requested a back-off from this entry.
    BackedOff,
    /// This daemon stops before an endpoint could have it.
    Stopping,
}

impl NotRunReason {
    /// The reason as logs and metrics name it.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoDocument => "no_document",
            Self::StaleKeys => "stale_keys",
            Self::NoEndpoint => "no_endpoint",
            Self::Denied => "denied",
            Self::Overload => "overload",
            Self::StageFailed => "stage_failed",
            Self::BodyLate => "body_late",
            Self::TimeOver => "time_over",
            Self::Quarantined => "quarantined",
            Self::RateLimited => "rate_limited",
            Self::BackedOff => "backed_off",
            Self::Stopping => "stopping",
        }
    }
}

impl GatewayRefusal {
    /// The refusal as logs and metrics name it.
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
