use super::shard_report::ShardReport;
use crate::prelude::*;

/// Shortest interval between two reports on a shard: half of a call, in which a backlog
/// changes by less than what a plan may wait.
pub(in crate::gateway) const TELL_INTERVAL: Duration = Duration::from_millis(150);

/// Interval after which an unchanged load is reported again while there is work, so that two
/// reports may be lost before the last one is too old.
const REFRESH_INTERVAL: Duration = Duration::from_millis(400);

/// Time between reports for each receiver: forty messages a second take a coordinator about a
/// fiftieth of a small entry's processor time.
const TIME_PER_RECEIVER: Duration = Duration::from_millis(25);

/// Change of a backlog that is reported at once: a sixth of the wait that makes a plan late.
const NOTABLE_CHANGE: Duration = Duration::from_millis(40);

/// Change of a pool's rate that is reported at once, as a share of it.
const NOTABLE_RATE_SHARE: f64 = 0.1;

/// Decides when the load of a shard is reported: on a notable change, at a bounded rate, and not
/// while the shard is idle. A state machine without I/O.
#[derive(Debug)]
pub(in crate::gateway) struct ReportPacer {
    sequence: u64,
    last: Option<ToldReport>,
}

#[derive(Debug)]
struct ToldReport {
    at: Instant,
    had_work: bool,
    report: ShardReport,
}

impl ReportPacer {
    /// Numbers reports from `first_sequence` on. It has to be higher than the numbers that
    /// this entry used before a restart.
    pub(in crate::gateway) fn new(first_sequence: u64) -> Self {
        Self {
            sequence: first_sequence,
            last: None,
        }
    }

    /// Whether a report may be due now, with `receivers` other entries that it goes to.
    pub(in crate::gateway) fn may_tell(
        &self,
        now: Instant,
        receivers: usize,
        has_work: bool,
    ) -> bool {
        let interval = TELL_INTERVAL.max(TIME_PER_RECEIVER * receivers as u32);
        let Some(last) = &self.last else {
            return has_work;
        };
        (has_work || last.had_work) && now >= last.at + interval
    }

    /// Returns the sequence number with which to tell a report; `None` if it says too little
    /// that is new. The first report without work is always reported.
    pub(in crate::gateway) fn tell(
        &mut self,
        now: Instant,
        has_work: bool,
        report: &ShardReport,
    ) -> Option<u64> {
        let is_known = self.last.as_ref().is_some_and(|last| {
            let is_fresh = now < last.at + REFRESH_INTERVAL;
            is_fresh && last.had_work == has_work && !is_notable(&last.report, report)
        });
        if is_known {
            return None;
        }
        self.last = Some(ToldReport {
            at: now,
            had_work: has_work,
            report: report.clone(),
        });
        self.sequence += 1;
        Some(self.sequence)
    }
}

fn is_notable(before: &ShardReport, report: &ShardReport) -> bool {
    report.pools().any(|(name, pool)| {
        before.pool(name).is_none_or(|before| {
            let rate_change = (pool.rate.endpoints - before.rate.endpoints).abs();
            pool.backlog.abs_diff(before.backlog) >= NOTABLE_CHANGE
                || rate_change > before.rate.endpoints * NOTABLE_RATE_SHARE
        })
    })
}

#[cfg(test)]
#[path = "report_pacer_tests.rs"]
mod tests;
