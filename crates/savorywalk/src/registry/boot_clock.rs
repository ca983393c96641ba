use nix::time::{ClockId, clock_gettime};

use crate::prelude::*;

/// Time since the VM was booted, including the time for which it was suspended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTime(Duration);

impl BootTime {
    /// The time `elapsed` after boot, for tests.
    pub const fn after(elapsed: Duration) -> Self {
        Self(elapsed)
    }

    /// Time from `earlier` until `self`; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// The time `earlier` before `self`; boot time if that would be before boot.
    pub fn minus(self, earlier: Duration) -> Self {
        Self(self.0.saturating_sub(earlier))
    }

    /// The time `later` after `self`.
    pub fn plus(self, later: Duration) -> Self {
        Self(self.0 + later)
    }
}

/// Reads `CLOCK_BOOTTIME`, by which the age of confirmed state is measured: it can't be set,
/// and unlike the monotonic clock it continues while the VM is suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl BootClock {
    /// The current time. If the clock can't be read, this is the maximum, so that all
    /// confirmed state counts as expired.
    pub fn now(self) -> BootTime {
        match clock_gettime(ClockId::CLOCK_BOOTTIME) {
            Ok(time) => BootTime(Duration::from(time)),
            Err(error) => {
                log_event!(error, "boot_clock_unreadable", reason = error);
                BootTime(Duration::MAX)
            }
        }
    }
}
