use std::sync::{Mutex, PoisonError};

use super::ProgressLimits;
use super::latency_sketch::LatencySketch;
use crate::prelude::*;

/// Size class 0 holds bodies under this many bytes; each class is four times
/// the one before.
const FIRST_CLASS_BYTES: usize = 1_024;
const MAX_CLASS: u8 = 6;
/// Quantile of recent first bytes after which a hedge is due.
const HEDGE_QUANTILE: f64 = 0.95;
/// A hedge sooner than this would cost more than it saves.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(10);
/// Quantile that a stall is told by, and how many times it must pass.
const STALL_QUANTILE: f64 = 0.99;
const STALL_FACTOR: u32 = 4;
/// Least time without progress that counts as a stall: engines pause for
/// hundreds of milliseconds when they make room in a batch.
const MIN_STALL: Duration = Duration::from_millis(500);
/// Time between events that counts as a stall while nothing is learnt.
const UNLEARNT_BETWEEN: Duration = Duration::from_secs(2);
/// Part of the time left that a first byte may take, so that another endpoint
/// still has the rest.
const FIRST_PART: u32 = 2;

/// Stages whose attempts are alike in their times.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PaceKey {
    pool: String,
    model: String,
    class: u8,
}

#[derive(Debug, Default)]
struct StagePace {
    first: LatencySketch,
    between: LatencySketch,
}

/// Learns how fast stages make progress, from attempts that succeeded.
#[derive(Debug, Default)]
pub struct PaceTable {
    paces: Mutex<FastMap<PaceKey, StagePace>>,
}

impl PaceKey {
    /// The key of an attempt that sends `bytes`: a long history takes longer.
    pub fn new(pool: &str, model: &str, bytes: usize) -> Self {
        let quadruples = (bytes / FIRST_CLASS_BYTES)
            .checked_ilog2()
            .map_or(0, |log| log / 2 + 1);
        Self {
            pool: pool.to_string(),
            model: model.to_string(),
            class: quadruples.min(MAX_CLASS.into()) as u8,
        }
    }
}

impl PaceTable {
    /// Takes in the times of an attempt that succeeded.
    pub fn record(&self, key: &PaceKey, first: Duration, longest_gap: Option<Duration>) {
        let mut paces = self.paces.lock().unwrap_or_else(PoisonError::into_inner);
        let pace = match paces.get_mut(key) {
            Some(pace) => pace,
            None => paces.entry(key.clone()).or_default(),
        };
        pace.first.record(first);
        if let Some(gap) = longest_gap {
            pace.between.record(gap);
        }
    }

    /// Time after which a second attempt is worth it; `None` while unlearnt.
    pub fn hedge_delay(&self, key: &PaceKey) -> Option<Duration> {
        let paces = self.paces.lock().unwrap_or_else(PoisonError::into_inner);
        let delay = paces.get(key)?.first.quantile(HEDGE_QUANTILE)?;
        Some(delay.max(MIN_HEDGE_DELAY))
    }

    /// When an attempt counts as stalled, with `remaining` time to its deadline.
    pub fn limits(&self, key: &PaceKey, remaining: Duration) -> ProgressLimits {
        let paces = self.paces.lock().unwrap_or_else(PoisonError::into_inner);
        let pace = paces.get(key);
        let learnt = |sketch: Option<&LatencySketch>| {
            let quantile = sketch?.quantile(STALL_QUANTILE)?;
            Some((quantile * STALL_FACTOR).max(MIN_STALL))
        };
        let first = learnt(pace.map(|pace| &pace.first));
        let between = learnt(pace.map(|pace| &pace.between));
        let most = remaining / FIRST_PART;
        ProgressLimits {
            first: first.unwrap_or(most).min(most),
            between: between.unwrap_or(UNLEARNT_BETWEEN),
        }
    }
}

#[cfg(test)]
#[path = "pace_table_tests.rs"]
mod tests;
