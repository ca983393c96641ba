use super::TrafficClass;
use crate::prelude::*;

/// Traffic of one class since the daemon's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCount {
    /// Bytes sent, without transport overhead.
    pub bytes: u64,
    /// Messages sent, or parts of messages.
    pub messages: u64,
    /// Messages, or parts of them, that were held back by the budget.
    pub held_back: u64,
}

/// Token bucket that limits the bytes per second of all traffic classes together.
///
/// Each class may spend only while the bucket holds more than the class's floor. So when the
/// budget runs short, load is held back first, then usage, then endpoint state. Leave notices
/// are always sent; they may take the bucket below zero at the expense of the other classes.
#[derive(Debug)]
pub struct ByteBudget {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled: Instant,
    counts: [TrafficCount; TrafficClass::ALL.len()],
}

impl ByteBudget {
    /// Creates a full bucket of `burst_bytes` that refills at `bytes_per_second`.
    pub fn new(now: Instant, bytes_per_second: u32, burst_bytes: u32) -> Self {
        Self {
            rate: f64::from(bytes_per_second),
            burst: f64::from(burst_bytes),
            tokens: f64::from(burst_bytes),
            refilled: now,
            counts: Default::default(),
        }
    }

    /// Spends `bytes` on a class. Returns false, and spends nothing, if the class is held back.
    pub fn spend(&mut self, now: Instant, class: TrafficClass, bytes: usize) -> bool {
        self.refill(now);
        let allowed = self.may_spend(class);
        let count = &mut self.counts[class as usize];
        if !allowed {
            count.held_back += 1;
            return false;
        }
        count.bytes += bytes as u64;
        count.messages += 1;
        self.tokens -= bytes as f64;
        true
    }

    /// Traffic of a class since the daemon's start.
    pub fn count(&self, class: TrafficClass) -> TrafficCount {
        self.counts[class as usize]
    }

    fn may_spend(&self, class: TrafficClass) -> bool {
        let floor = match class {
            TrafficClass::Leave => return true,
            TrafficClass::Membership => 0.0,
            TrafficClass::EndpointState => 0.1,
            TrafficClass::Usage => 0.3,
            TrafficClass::Load => 0.5,
        };
        self.tokens > floor * self.burst
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled);
        self.refilled = now;
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.rate).min(self.burst);
    }
}

#[cfg(test)]
#[path = "byte_budget_tests.rs"]
mod tests;
