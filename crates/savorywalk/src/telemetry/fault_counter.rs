use crate::prelude::*;

/// Shortest time between two log lines about rejections of one kind. Callers may send any
/// number of invalid calls; this limits the log to a few lines a second.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Counts rejected calls by kind and decides when to log one, as a state machine without
/// I/O.
#[derive(Debug, Default)]
pub(crate) struct FaultCounter {
    kinds: FastMap<&'static str, KindCount>,
}

#[derive(Debug, Default)]
struct KindCount {
    total: u64,
    last_logged: Option<Instant>,
}

impl FaultCounter {
    /// Counts one rejected call; returns the total of its kind when a log line is due.
    pub(crate) fn count(&mut self, now: Instant, kind: &'static str) -> Option<u64> {
        let count = self.kinds.entry(kind).or_default();
        count.total += 1;
        let is_due = count
            .last_logged
            .is_none_or(|last_logged| now >= last_logged + LOG_INTERVAL);
        if !is_due {
            return None;
        }
        count.last_logged = Some(now);
        Some(count.total)
    }
}

#[cfg(test)]
#[path = "fault_counter_tests.rs"]
mod tests;
