use hdrhistogram::Histogram;

use crate::prelude::*;

/// Observations in one histogram. When the current histogram is full, it
/// replaces the previous one.
const WINDOW_OBSERVATIONS: u64 = 500;
/// Minimum number of observations for a quantile.
const MIN_OBSERVATIONS: u64 = 30;
/// Longest duration recorded, in microseconds (ten minutes). Longer ones count
/// as this.
const MAX_MICROS: u64 = 600_000_000;
/// Significant decimal digits: a relative error of a tenth is accurate enough
/// for a time limit.
const SIGNIFICANT_DIGITS: u8 = 1;

/// Quantiles of recent durations, kept in a few kilobytes.
#[derive(Clone, Debug, Default)]
pub(super) struct LatencySketch {
    current: Option<Histogram<u32>>,
    previous: Option<Histogram<u32>>,
}

impl LatencySketch {
    /// Records a duration.
    pub(super) fn record(&mut self, duration: Duration) {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(MAX_MICROS);
        if self.current.is_none() {
            self.current = Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS).ok();
        }
        let Some(current) = &mut self.current else {
            return;
        };
        current.saturating_record(micros.clamp(1, MAX_MICROS));
        if current.len() >= WINDOW_OBSERVATIONS {
            self.previous = self.current.take();
        }
    }

    /// Returns the quantile `fraction` (0 to 1) of the recent durations. `None`
    /// below [`MIN_OBSERVATIONS`].
    pub(super) fn quantile(&self, fraction: f64) -> Option<Duration> {
        let mut merged = self.current.clone().or_else(|| self.previous.clone())?;
        if let (Some(_), Some(previous)) = (&self.current, &self.previous) {
            merged.add(previous).ok()?;
        }
        if merged.len() < MIN_OBSERVATIONS {
            return None;
        }
        Some(Duration::from_micros(merged.value_at_quantile(fraction)))
    }
}

#[cfg(test)]
#[path = "latency_sketch_tests.rs"]
mod tests;
