use crate::prelude::*;

/// Time for which a control daemon may hold a call without news. It is how
/// often an entry's knowledge is confirmed: ten times within the shortest
/// bound after which a revoked key must not work.
const HOLD: Duration = Duration::from_millis(500);

/// Time beyond the hold after which the daemon counts as lost. A confirmed
/// answer takes a few milliseconds more than the hold.
const ANSWER_TIME: Duration = Duration::from_millis(600);

/// Unconfirmed answers in a row after which another daemon is asked.
const MAX_UNCONFIRMED: u32 = 1;

/// How a call to a control daemon ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowOutcome {
    /// With the word of a majority.
    Confirmed,
    /// Without it.
    Unconfirmed,
    /// Not in time, or with an error.
    Lost,
}

/// How long an entry waits for the control daemon that it asks, and when it turns
/// to the next one, as a state machine without I/O.
#[derive(Clone, Debug, Default)]
pub struct FollowPace {
    unconfirmed: u32,
}

impl FollowPace {
    /// Time for which the next call may be held without news.
    pub fn hold(&self) -> Duration {
        HOLD
    }

    /// Time after which the daemon that gets the next call counts as lost.
    pub fn answer_time(&self) -> Duration {
        HOLD + ANSWER_TIME
    }

    /// Notes how a call ended; true when the next daemon is to be asked.
    pub fn note(&mut self, outcome: FollowOutcome) -> bool {
        self.unconfirmed = match outcome {
            FollowOutcome::Confirmed => 0,
            FollowOutcome::Unconfirmed => self.unconfirmed + 1,
            FollowOutcome::Lost => return true,
        };
        let is_unsure = self.unconfirmed > MAX_UNCONFIRMED;
        if is_unsure {
            self.unconfirmed = 0;
        }
        is_unsure
    }
}

#[cfg(test)]
#[path = "follow_pace_tests.rs"]
mod tests;
