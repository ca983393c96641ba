use std::time::{Duration, Instant};

/// A rate limit on bytes, with a burst; takers queue by getting a later time.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    bytes_per_second: f64,
    burst: f64,
    level: f64,
    updated: Instant,
}

impl TokenBucket {
    pub(crate) fn new(now: Instant, bytes_per_second: u64, burst: u64) -> Self {
        Self {
            bytes_per_second: bytes_per_second as f64,
            burst: burst as f64,
            level: burst as f64,
            updated: now,
        }
    }

    /// Takes `bytes`; tells how long the taker must wait for them.
    pub(crate) fn take(&mut self, now: Instant, bytes: u64) -> Duration {
        let refill = now.duration_since(self.updated).as_secs_f64() * self.bytes_per_second;
        self.level = (self.level + refill).min(self.burst) - bytes as f64;
        self.updated = now;
        Duration::from_secs_f64((-self.level).max(0.0) / self.bytes_per_second)
    }
}

#[cfg(test)]
#[path = "token_bucket_tests.rs"]
mod tests;
