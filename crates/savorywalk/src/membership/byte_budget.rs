use super::TrafficClass;
use crate::prelude::*;

/// Bytes and messages of one class since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCount {
    /// Bytes sent, without what the transport adds.
    pub bytes: u64,
    /// Messages, or parts of messages, sent.
    pub messages: u64,
    /// Times that something was held back.
    pub held_back: u64,
}

/// A token bucket of bytes a second, shared by classes of traffic.
///
/// A class may spend only while the bucket holds more than the class's floor,
/// so that as the budget runs short load goes first, then usage, then
/// endpoints' state. Leave notices are always sent: the bucket then goes below
/// zero and the others pay.
#[derive(Debug)]
pub struct ByteBudget {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled: Instant,
    counts: [TrafficCount; TrafficClass::ALL.len()],
}

impl ByteBudget {
    /// A full bucket that refills with `bytes_per_second` and holds `burst_bytes`.
    pub fn new(now: Instant, bytes_per_second: u32, burst_bytes: u32) -> Self {
        Self {
            rate: f64::from(bytes_per_second),
            burst: f64::from(burst_bytes),
            tokens: f64::from(burst_bytes),
            refilled: now,
            counts: Default::default(),
        }
    }

    /// Spends `bytes` on a class, or tells that it has to wait.
    pub fn spend(&mut self, now: Instant, class: TrafficClass, bytes: usize) -> bool {
        self.refill(now);
        let allowed = self.allows(class);
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

    /// What a class has cost since the start.
    pub fn count(&self, class: TrafficClass) -> TrafficCount {
        self.counts[class as usize]
    }

    fn allows(&self, class: TrafficClass) -> bool {
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
