use nix::time::{ClockId, clock_gettime};

use crate::prelude::*;

/// Time since the VM was started, counting the time for which it was
/// suspended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTime(Duration);

impl BootTime {
    /// A moment `elapsed` after the start, for tests.
    pub const fn after(elapsed: Duration) -> Self {
        Self(elapsed)
    }

    /// Time from `earlier` until this moment; zero when it is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// The moment `earlier` before this one, saturating at boot.
    pub fn minus(self, earlier: Duration) -> Self {
        Self(self.0.saturating_sub(earlier))
    }

    /// The moment `later` after this one.
    pub fn plus(self, later: Duration) -> Self {
        Self(self.0 + later)
    }
}

/// Reads the only clock by which the age of knowledge may be told: it can't be
/// set, and it goes on while the VM is suspended, which the monotonic clock
/// does not.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl BootClock {
    /// This moment. When the clock can't be read, all knowledge counts as old.
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
