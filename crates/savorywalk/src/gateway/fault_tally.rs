use crate::prelude::*;

/// Shortest time between two log lines about faults of one kind. Any number of
/// callers may send what can't be read, as often as they like: one line a kind
/// in this time keeps the log within some lines a second.
const LINE_INTERVAL: Duration = Duration::from_secs(10);

/// Counts what could not be taken by kind, and tells when a log line is due, as
/// a state machine without I/O.
#[derive(Debug, Default)]
pub(super) struct FaultTally {
    kinds: FastMap<&'static str, KindCount>,
}

#[derive(Debug, Default)]
struct KindCount {
    total: u64,
    told: Option<Instant>,
}

impl FaultTally {
    /// Counts one; the total of its kind when a line is due.
    pub(super) fn count(&mut self, now: Instant, kind: &'static str) -> Option<u64> {
        let count = self.kinds.entry(kind).or_default();
        count.total += 1;
        let is_due = count.told.is_none_or(|told| now >= told + LINE_INTERVAL);
        if !is_due {
            return None;
        }
        count.told = Some(now);
        Some(count.total)
    }
}

#[cfg(test)]
#[path = "fault_tally_tests.rs"]
mod tests;
