use std::time::{SystemTime, UNIX_EPOCH};

use crate::prelude::*;

/// Gives the stamps of commands: the wall time at the process's start plus
/// monotonic time since, so that a jump of wall time moves no lease.
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
    /// The stamp of this moment, in milliseconds since 1970.
    pub fn now_ms(&self) -> u64 {
        self.started_ms + self.started.elapsed().as_millis() as u64
    }
}
