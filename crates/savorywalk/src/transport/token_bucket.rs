use crate::prelude::*;

/// Tokens that refill at a rate up to a burst; what is taken may leave a debt,
/// so that a message larger than the burst can pass and is paid for after.
#[derive(Clone, Debug)]
pub(super) struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    filled: Instant,
}

impl TokenBucket {
    /// A full bucket that refills with `rate` a second up to `burst`.
    pub(super) fn new(now: Instant, rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst,
            tokens: burst,
            filled: now,
        }
    }

    /// Takes `amount` when more than `floor` tokens are there, or tells how
    /// long to wait until there will be.
    pub(super) fn take(&mut self, now: Instant, amount: f64, floor: f64) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens > floor {
            self.tokens -= amount;
            return Ok(());
        }
        let missing = floor - self.tokens;
        Err(Duration::from_secs_f64(missing / self.rate) + Duration::from_millis(1))
    }

    /// Most tokens that it holds.
    pub(super) fn burst(&self) -> f64 {
        self.burst
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.rate).min(self.burst);
        self.filled = self.filled.max(now);
    }
}
