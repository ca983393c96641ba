use crate::directory::EndpointRecord;
use crate::prelude::*;

/// Capacity of a pool's endpoints according to the directory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolCapacity {
    /// Total slots of the endpoints that take work and report their slots.
    pub slots: u32,
    /// Number of endpoints that take work but don't report their slots.
    pub unreported: u32,
}

impl PoolCapacity {
    /// Counts the endpoints of `records` that take work at `now`.
    pub fn from_records(now: Instant, records: &[Arc<EndpointRecord>]) -> Self {
        let mut capacity = Self::default();
        for record in records.iter().filter(|record| record.takes_work(now)) {
            match record.announcement.slots {
                0 => capacity.unreported += 1,
                slots => capacity.slots = capacity.slots.saturating_add(slots),
            }
        }
        capacity
    }

    /// Whether no endpoint of the pool takes work.
    pub fn is_empty(&self) -> bool {
        self.slots == 0 && self.unreported == 0
    }
}
