use super::LinkClass;
use super::link_limits::BUDGET_BURST_SECONDS;
use super::token_bucket::TokenBucket;
use crate::prelude::*;

/// The budget of one daemon for control traffic, shared by all its peers.
///
/// Detail is sent only from the upper half of the burst, updates while there
/// is any left, notices also on credit; so what is held back first is what
/// is dropped first. The credit is bounded, so the rate holds over time.
#[derive(Clone, Debug)]
pub struct LinkBudget {
    bucket: TokenBucket,
}

impl LinkBudget {
    /// A budget of `bytes_per_second`.
    pub fn new(now: Instant, bytes_per_second: u32) -> Self {
        let rate = f64::from(bytes_per_second);
        Self {
            bucket: TokenBucket::new(now, rate, rate * BUDGET_BURST_SECONDS),
        }
    }

    /// Takes `bytes` for a message of `class`, or tells how long to wait.
    pub fn take(
        &mut self,
        now: Instant,
        class: LinkClass,
        bytes: usize,
    ) -> std::result::Result<(), Duration> {
        let burst = self.bucket.burst();
        let floor = match class {
            LinkClass::Replication => return Ok(()),
            LinkClass::Notice => -burst,
            LinkClass::Update => 0.0,
            LinkClass::Detail => burst / 2.0,
        };
        self.bucket.take(now, bytes as f64, floor)
    }
}

#[cfg(test)]
#[path = "link_budget_tests.rs"]
mod tests;
