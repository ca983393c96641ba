use super::probe_monitor::ProbeMonitor;
use crate::prelude::*;

/// Consecutive targets that must fail until a region counts as unreachable.
const FAILED_TARGETS: u32 = 3;

/// Monitored connection from this daemon to another region. The monitor probes one member of
/// the region, the target.
#[derive(Debug)]
pub(super) struct RegionBridge {
    pub(super) region: Arc<str>,
    pub(super) monitor: ProbeMonitor,
    /// Number of consecutive targets that failed. It offsets the choice of the next target in
    /// the ranking.
    failed: u32,
}

impl RegionBridge {
    pub(super) fn new(region: Arc<str>, monitor: ProbeMonitor) -> Self {
        Self {
            region,
            monitor,
            failed: 0,
        }
    }

    pub(super) fn failed(&self) -> usize {
        self.failed as usize
    }

    pub(super) fn is_reachable(&self) -> bool {
        self.failed < FAILED_TARGETS
    }

    /// Records that the target failed. Returns whether the region has just become unreachable.
    pub(super) fn record_failure(&mut self, next: ProbeMonitor) -> bool {
        self.failed = self.failed.saturating_add(1);
        self.monitor = next;
        self.failed == FAILED_TARGETS
    }

    /// Records an answer. Returns whether the region was unreachable until now.
    pub(super) fn record_success(&mut self) -> bool {
        let was_unreachable = !self.is_reachable();
        self.failed = 0;
        was_unreachable
    }
}
