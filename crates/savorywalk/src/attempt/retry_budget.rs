use crate::prelude::*;

/// Attempts that may be made at once after a quiet time.
const MAX_TOKENS: f64 = 10.0;
/// Tokens that come back each second without any success, so that a pool with
/// little traffic can still retry.
const TOKENS_PER_SECOND: f64 = 1.0;

/// Bounds extra attempts to a share of the successes.
///
/// A count of retries for each request multiplies the load exactly when a
/// pool fails; a share of the successes shrinks with them. See
/// docs/design/attempts.md.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    tokens: f64,
    refilled: Option<Instant>,
}

impl RetryBudget {
    /// A full budget that gains `share` of a token for each success.
    pub fn new(share: f64) -> Self {
        Self {
            share,
            tokens: MAX_TOKENS,
            refilled: None,
        }
    }

    /// Counts a success.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.share).min(MAX_TOKENS);
    }

    /// Takes one extra attempt, if there is one to take.
    pub fn try_take(&mut self, now: Instant) -> bool {
        let last = self.refilled.replace(now).unwrap_or(now);
        let idle = now.saturating_duration_since(last).as_secs_f64();
        self.tokens = (self.tokens + idle * TOKENS_PER_SECOND).min(MAX_TOKENS);
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }
}

#[cfg(test)]
#[path = "retry_budget_tests.rs"]
mod tests;
