use super::link_limits::HEALTH_INTERVAL;
use crate::prelude::*;

/// Looks missed in a row from which on this daemon counts as suspended.
const MISSED_LOOKS: u32 = 2;

/// For how long nothing was received on a connection, judged by looks at its counters.
///
/// Only time in which this daemon looked counts: what it has not read while it was suspended does
/// not show that its peer was silent.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionSilence {
    /// Datagrams received by the last look.
    received: u64,
    /// Time of the first look that found the last of them, later by what this daemon was suspended
    /// since.
    heard: Instant,
    looked: Instant,
}

impl ConnectionSilence {
    /// The silence of a connection that is open since `now`.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            received: 0,
            heard: now,
            looked: now,
        }
    }

    /// Takes the number of datagrams received by `now`, and returns for how long there has been no
    /// further one.
    pub(super) fn observe(&mut self, now: Instant, received: u64) -> Duration {
        let since_look = now.saturating_duration_since(self.looked);
        self.heard += since_look.saturating_sub(HEALTH_INTERVAL * MISSED_LOOKS);
        self.looked = now;
        if received != self.received {
            self.received = received;
            self.heard = now;
        }
        now.saturating_duration_since(self.heard)
    }
}

#[cfg(test)]
#[path = "connection_silence_tests.rs"]
mod tests;
