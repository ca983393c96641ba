use crate::prelude::*;

/// Longest time for which a control daemon may hold a call without an update; it is also the
/// interval between confirmations.
const MAX_HOLD: Duration = Duration::from_millis(500);

/// Shortest such time, so that an entry makes at most about 20 calls a second under any age
/// bound.
const MIN_HOLD: Duration = Duration::from_millis(50);

/// Confirmations within the longest age of confirmed state: one may be lost and the next one
/// late before requests are refused.
const CONFIRMATIONS_PER_MAX_AGE: u32 = 4;

/// Time beyond the hold after which the daemon counts as lost. A confirmed answer takes a few
/// milliseconds more than the hold.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);

/// Hold while no answer is confirmed: an entry that looks for a majority makes six calls a
/// second, so that 72 entries cost a daemon about 50.
const SEARCH_HOLD: Duration = Duration::from_millis(100);

/// Time beyond that hold for the first daemon of a search: five times what a confirmed answer
/// takes on a new link.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(250);

/// The same for an entry without a confirmed answer so far: it serves no requests that a
/// shorter timeout would help, and when all entries start at once every daemon is slow.
const START_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Factor in thousandths by which the search timeout grows with each lost daemon, up to
/// [`ANSWER_TIMEOUT`] or [`OVERLOAD_TIMEOUT`], so that slow answers eventually arrive in
/// time.
const TIMEOUT_GROWTH_PERMILLE: u32 = 1_400;

/// Daemons lost since the last confirmed answer beyond which they count as overloaded instead
/// of down: more than a deployment loses at once.
const MAX_LOST_DAEMONS: u32 = 8;

/// Longest time beyond the hold for an overloaded daemon. A shorter timeout causes more
/// calls, which add to the overload.
const OVERLOAD_TIMEOUT: Duration = Duration::from_secs(4);

/// Unconfirmed answers that a daemon may give before the next one is called.
const MAX_UNCONFIRMED: u32 = 1;

/// How a call to a control daemon ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowOutcome {
    /// A majority confirmed the answer.
    Confirmed,
    /// No majority confirmed the answer.
    Unconfirmed,
    /// The call timed out or failed.
    Lost,
}

/// Timeouts of an entry's calls to control daemons, and when it changes to the next daemon,
/// as a state machine without I/O.
///
/// While no majority confirms, holds and timeouts are shorter than in regular operation. With
/// the regular ones, two lost daemons in a row cost 2.4 s and four in a minority 5.7 s; with
/// the shorter ones, 1.6 s and 2.8 s, by the model of the tests. A change must be in force
/// 2.5 s after it was acknowledged.
#[derive(Clone, Debug)]
pub struct FollowTimeouts {
    regular_hold: Duration,
    consecutive_unconfirmed: u32,
    /// Whether any answer was confirmed so far.
    was_confirmed: bool,
    /// Daemons lost since the last confirmed answer.
    lost_daemons: u32,
    /// Time for an answer beyond the hold, while no answer is confirmed.
    search_timeout: Option<Duration>,
}

impl FollowTimeouts {
    /// Timeouts of an entry that may use confirmed state for `max_age`.
    pub fn for_max_age(max_age: Duration) -> Self {
        Self::with_hold((max_age / CONFIRMATIONS_PER_MAX_AGE).clamp(MIN_HOLD, MAX_HOLD))
    }

    fn with_hold(regular_hold: Duration) -> Self {
        Self {
            regular_hold,
            consecutive_unconfirmed: 0,
            was_confirmed: false,
            lost_daemons: 0,
            search_timeout: None,
        }
    }

    /// Time for which the next call may be held without an update.
    pub fn hold(&self) -> Duration {
        match self.search_timeout {
            Some(_) => SEARCH_HOLD.min(self.regular_hold),
            None => self.regular_hold,
        }
    }

    /// Timeout of the next call, after which its daemon counts as lost.
    pub fn answer_timeout(&self) -> Duration {
        self.hold() + self.search_timeout.unwrap_or(ANSWER_TIMEOUT)
    }

    /// Records how a call ended; returns whether to call the next daemon.
    pub fn record(&mut self, outcome: FollowOutcome) -> bool {
        match outcome {
            FollowOutcome::Confirmed => {
                *self = Self::with_hold(self.regular_hold);
                self.was_confirmed = true;
                return false;
            }
            FollowOutcome::Unconfirmed => {
                self.consecutive_unconfirmed += 1;
                let first = self.first_search_timeout();
                self.search_timeout.get_or_insert(first);
            }
            FollowOutcome::Lost => {
                self.lost_daemons += 1;
                let max_timeout = match self.lost_daemons > MAX_LOST_DAEMONS || !self.was_confirmed
                {
                    true => OVERLOAD_TIMEOUT,
                    false => ANSWER_TIMEOUT,
                };
                let grow = |timeout| grown(timeout).min(max_timeout);
                let first = self.first_search_timeout();
                self.search_timeout = Some(self.search_timeout.map_or(first, grow));
            }
        }
        let is_next =
            outcome == FollowOutcome::Lost || self.consecutive_unconfirmed > MAX_UNCONFIRMED;
        if is_next {
            self.consecutive_unconfirmed = 0;
        }
        is_next
    }
}

impl FollowTimeouts {
    fn first_search_timeout(&self) -> Duration {
        match self.was_confirmed {
            true => SEARCH_TIMEOUT,
            false => START_TIMEOUT,
        }
    }
}

fn grown(timeout: Duration) -> Duration {
    timeout * TIMEOUT_GROWTH_PERMILLE / 1_000
}

#[cfg(test)]
#[path = "follow_timeouts_tests.rs"]
mod tests;
