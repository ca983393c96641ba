use std::sync::{Mutex, PoisonError};

use super::ProgressLimits;
use super::latency_sketch::LatencySketch;
use crate::prelude::*;

/// Size class 0 has bodies under this many bytes. The upper bound of each
/// further class is four times that of the one before.
const SMALLEST_CLASS_BYTES: usize = 1_024;
const MAX_SIZE_CLASS: u8 = 6;
/// Quantile of recent times to the first event after which a hedge is sent.
const HEDGE_QUANTILE: f64 = 0.95;
/// Minimum delay of a hedge; an earlier one would cost more than it saves.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(10);
/// An attempt counts as stalled after `STALL_FACTOR` times this quantile of
/// recent times.
const STALL_QUANTILE: f64 = 0.99;
const STALL_FACTOR: u32 = 4;
/// Minimum time without progress that counts as a stall. Engines pause for
/// hundreds of milliseconds when they free space in a batch.
const MIN_STALL: Duration = Duration::from_millis(500);
/// Time between events that counts as a stall until there are enough
/// observations.
const DEFAULT_EVENT_GAP: Duration = Duration::from_secs(2);
/// The first event may take at most the remaining time divided by this, so that
/// the rest is left for another endpoint.
const FIRST_EVENT_DIVISOR: u32 = 2;

/// Key of attempts that take similar times: same pool, model and size class of
/// the body.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ProgressKey {
    pool: String,
    model: String,
    size_class: u8,
}

#[derive(Debug, Default)]
struct StageTiming {
    first_event: LatencySketch,
    event_gap: LatencySketch,
}

/// Recent times of successful attempts, from which hedge delays and stall limits
/// follow.
#[derive(Debug, Default)]
pub struct ProgressTable {
    timings: Mutex<FastMap<ProgressKey, StageTiming>>,
}

impl ProgressKey {
    /// Creates the key for attempts with a body of `bytes`. Longer bodies are
    /// kept apart, as longer histories take longer.
    pub fn new(pool: &str, model: &str, bytes: usize) -> Self {
        let size_class = (bytes / SMALLEST_CLASS_BYTES)
            .checked_ilog2()
            .map_or(0, |log| log / 2 + 1);
        Self {
            pool: pool.to_string(),
            model: model.to_string(),
            size_class: size_class.min(MAX_SIZE_CLASS.into()) as u8,
        }
    }
}

impl ProgressTable {
    /// Records the time to the first event of a successful attempt, and its
    /// longest gap between events.
    pub fn record(&self, key: &ProgressKey, first_event: Duration, longest_gap: Option<Duration>) {
        let mut timings = self.timings.lock().unwrap_or_else(PoisonError::into_inner);
        let timing = match timings.get_mut(key) {
            Some(timing) => timing,
            None => timings.entry(key.clone()).or_default(),
        };
        timing.first_event.record(first_event);
        if let Some(gap) = longest_gap {
            timing.event_gap.record(gap);
        }
    }

    /// Returns the delay after which a hedge may be sent. `None` while there are
    /// too few observations.
    pub fn hedge_delay(&self, key: &ProgressKey) -> Option<Duration> {
        let timings = self.timings.lock().unwrap_or_else(PoisonError::into_inner);
        let delay = timings.get(key)?.first_event.quantile(HEDGE_QUANTILE)?;
        Some(delay.max(MIN_HEDGE_DELAY))
    }

    /// Returns the time limits after which an attempt counts as stalled, with
    /// `remaining` time to its deadline.
    pub fn limits(&self, key: &ProgressKey, remaining: Duration) -> ProgressLimits {
        let timings = self.timings.lock().unwrap_or_else(PoisonError::into_inner);
        let timing = timings.get(key);
        let stall_limit = |sketch: Option<&LatencySketch>| {
            let quantile = sketch?.quantile(STALL_QUANTILE)?;
            Some((quantile * STALL_FACTOR).max(MIN_STALL))
        };
        let first_event = stall_limit(timing.map(|timing| &timing.first_event));
        let event_gap = stall_limit(timing.map(|timing| &timing.event_gap));
        let max_first_event = remaining / FIRST_EVENT_DIVISOR;
        ProgressLimits {
            first_event: first_event.unwrap_or(max_first_event).min(max_first_event),
            event_gap: event_gap.unwrap_or(DEFAULT_EVENT_GAP),
        }
    }
}

#[cfg(test)]
#[path = "progress_table_tests.rs"]
mod tests;
