use crate::prelude::*;

/// The moment by which a request must be answered whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestDeadline {
    started: Instant,
    ends: Instant,
}

impl RequestDeadline {
    /// The caller's wish, capped by the pipeline's own limit.
    pub fn new(now: Instant, wish: Option<Duration>, limit: Duration) -> Self {
        let span = wish.map_or(limit, |wish| wish.min(limit));
        Self {
            started: now,
            ends: now + span,
        }
    }

    /// When the request arrived.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// When the request must be answered.
    pub fn ends(&self) -> Instant {
        self.ends
    }

    /// Time left at `now`; zero once it has passed.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.ends.saturating_duration_since(now)
    }

    /// The deadline of an earlier step that leaves `reserve` for later ones.
    pub fn leaving(&self, reserve: Duration) -> Self {
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
