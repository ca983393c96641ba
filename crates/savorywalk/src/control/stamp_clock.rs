use std::time::{SystemTime, UNIX_EPOCH};

use crate::prelude::*;

/// The clock that stamps commands: the wall time when the clock was created plus the
/// monotonic time since then. A later jump of the wall time therefore shifts no lease.
#[derive(Clone, Copy, Debug)]
pub struct StampClock {
    started: Instant,
    started_ms: u64,
}

impl Default for StampClock {
    fn default() -> Self {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            started: Instant::now(),
            started_ms: wall.unwrap_or_default().as_millis() as u64,
        }
    }
}

impl StampClock {
    /// The present time, in milliseconds since 1970.
    pub fn now_ms(&self) -> u64 {
        self.started_ms + self.started.elapsed().as_millis() as u64
    }
}
