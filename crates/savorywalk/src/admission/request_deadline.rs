use crate::prelude::*;

/// Deadline for the complete answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestDeadline {
    started: Instant,
    ends: Instant,
}

impl RequestDeadline {
    /// Creates a deadline from the time that the caller requested, capped by the pipeline's
    /// `limit`. Without a requested time the limit applies.
    pub fn new(now: Instant, requested: Option<Duration>, limit: Duration) -> Self {
        let span = requested.map_or(limit, |requested| requested.min(limit));
        Self {
            started: now,
            ends: now + span,
        }
    }

    /// When the request arrived.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Time by which the request must be answered.
    pub fn ends(&self) -> Instant {
        self.ends
    }

    /// Time left at `now`; zero after the deadline.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.ends.saturating_duration_since(now)
    }

    /// Returns a deadline that is earlier by `reserve`, the time for later stages, but not
    /// before the request's arrival.
    pub fn with_reserve(&self, reserve: Duration) -> Self {
        let ends = self.ends.checked_sub(reserve).unwrap_or(self.started);
        Self {
            started: self.started,
            ends: ends.max(self.started),
        }
    }

    /// Whether the deadline has passed at `now`.
    pub fn has_passed(&self, now: Instant) -> bool {
        now >= self.ends
    }
}
