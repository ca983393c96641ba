use crate::prelude::*;

/// Maximum number of tokens, and so of extra attempts in a burst.
const MAX_TOKENS: f64 = 10.0;
/// Tokens added each second, independent of successes, so that a pool with
/// little traffic can still retry.
const TOKENS_PER_SECOND: f64 = 1.0;

/// Token bucket that limits extra attempts to a share of the successes.
///
/// A fixed number of retries per request would multiply the load when a pool
/// fails. A share of the successes shrinks with them. See
/// docs/design/attempts.md.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    tokens: f64,
    refilled: Option<Instant>,
}

impl RetryBudget {
    /// Creates a full budget that gains `share` tokens for each success.
    pub fn new(share: f64) -> Self {
        Self {
            share,
            tokens: MAX_TOKENS,
            refilled: None,
        }
    }

    /// Adds the tokens for one success.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.share).min(MAX_TOKENS);
    }

    /// Takes a token for one extra attempt. Returns whether one was available.
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
