use super::rate_meter::RateMeter;
use super::{AdaptiveLimit, PoolCapacity};
use crate::prelude::*;

/// Limit on the stages that this entry runs at a pool at once.
///
/// An entry has an even share of the pool's slots and borrows half of the slots
/// that the other entries leave unused. It borrows only half because all
/// entries may borrow at once, before the next usage reports; the excess waits
/// in the endpoints' queues until then.
#[derive(Clone, Debug)]
pub struct PoolLimit {
    capacity: PoolCapacity,
    entries: u32,
    adaptive: AdaptiveLimit,
    remote_usage: RateMeter,
}

impl Default for PoolLimit {
    fn default() -> Self {
        Self {
            capacity: PoolCapacity::default(),
            entries: 1,
            adaptive: AdaptiveLimit::default(),
            remote_usage: RateMeter::default(),
        }
    }
}

impl PoolLimit {
    /// Sets the pool's capacity according to the directory.
    pub fn set_capacity(&mut self, capacity: PoolCapacity) {
        self.capacity = capacity;
    }

    /// Sets the number of entries that take requests, this one included.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Adds endpoint time that other entries used at `now`.
    pub fn add_remote(&mut self, now: Instant, cost: Duration) {
        self.remote_usage.add(now, cost);
    }

    /// Updates the limit for endpoints that don't report their slots, from a
    /// stage that took `service` while `in_use` stages ran.
    pub fn record_service(&mut self, now: Instant, service: Duration, in_use: u32) {
        if self.capacity.unreported > 0 {
            let limit = self.slots(now).unwrap_or(in_use);
            self.adaptive.record_service(service, in_use, limit);
        }
    }

    /// Number of stages that may run at once; `None` (no limit) while no
    /// endpoint takes work, so that the queue doesn't delay the error.
    pub fn slots(&self, now: Instant) -> Option<u32> {
        if self.capacity.is_empty() {
            return None;
        }
        let estimated = self.adaptive.slots(self.capacity.unreported);
        let pool = self.capacity.slots.saturating_add(estimated);
        let even_share = pool.div_ceil(self.entries).max(1);
        if self.entries == 1 {
            return Some(even_share);
        }
        let remote_slots = self.remote_usage.rate(now).ceil() as u32;
        let unused = pool.saturating_sub(even_share).saturating_sub(remote_slots);
        Some(even_share + unused / 2)
    }
}

#[cfg(test)]
#[path = "pool_limit_tests.rs"]
mod tests;
