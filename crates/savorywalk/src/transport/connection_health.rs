use super::link_limits::SUSPECT_AFTER;
use crate::prelude::*;

/// Counters of a connection, read together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ConnectionSample {
    /// Frames sent that ask for an acknowledgement.
    pub asked: u64,
    /// Datagrams received.
    pub received: u64,
}

/// Whether a connection may have gone silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HealthState {
    /// Its peer was heard since something was asked of it.
    Live,
    /// Something was asked, and nothing has come back for too long.
    Suspect,
}

/// Judges a connection by what it sent and heard. It counts only what asks
/// for an answer, so a quiet connection is never suspect.
#[derive(Clone, Debug, Default)]
pub(super) struct ConnectionHealth {
    last: ConnectionSample,
    unanswered_since: Option<Instant>,
}

impl ConnectionHealth {
    /// Takes the counters as they are at `now`.
    pub(super) fn observe(&mut self, now: Instant, sample: ConnectionSample) -> HealthState {
        if sample.received != self.last.received {
            self.unanswered_since = None;
        } else if sample.asked != self.last.asked && self.unanswered_since.is_none() {
            self.unanswered_since = Some(now);
        }
        self.last = sample;
        match self.unanswered_since {
            Some(since) if now.saturating_duration_since(since) >= SUSPECT_AFTER => {
                HealthState::Suspect
            }
            Some(_) | None => HealthState::Live,
        }
    }
}

#[cfg(test)]
#[path = "connection_health_tests.rs"]
mod tests;
