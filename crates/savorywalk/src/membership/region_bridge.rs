use super::probe_monitor::ProbeMonitor;
use crate::prelude::*;

/// Targets that must fail one after the other before a region counts as cut off.
const FAILED_TARGETS: u32 = 3;

/// The link from this daemon to one other region.
#[derive(Debug)]
pub(super) struct RegionBridge {
    pub(super) region: Arc<str>,
    pub(super) monitor: ProbeMonitor,
    /// How many targets failed in a row; the next one is that far down the rank.
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

    /// Notes that the target failed; tells whether the region now counts as
    /// cut off for the first time.
    pub(super) fn fail(&mut self, next: ProbeMonitor) -> bool {
        self.failed = self.failed.saturating_add(1);
        self.monitor = next;
        self.failed == FAILED_TARGETS
    }

    /// Notes an answer; tells whether the region was cut off until now.
    pub(super) fn succeed(&mut self) -> bool {
        let was_cut_off = !self.is_reachable();
        self.failed = 0;
        was_cut_off
    }
}
