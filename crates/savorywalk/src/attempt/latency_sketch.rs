use hdrhistogram::Histogram;

use crate::prelude::*;

/// Observations after which the older half is dropped.
const WINDOW: u64 = 500;
/// Observations before anything is told.
const MIN_OBSERVATIONS: u64 = 30;
/// Longest span told apart, in microseconds: ten minutes.
const MAX_MICROS: u64 = 600_000_000;
/// Digits kept: a tenth is near enough for a time limit.
const DIGITS: u8 = 1;

/// Quantiles of recent durations, in a few kilobytes.
#[derive(Clone, Debug, Default)]
pub(super) struct LatencySketch {
    current: Option<Histogram<u32>>,
    previous: Option<Histogram<u32>>,
}

impl LatencySketch {
    /// Takes in a duration.
    pub(super) fn record(&mut self, span: Duration) {
        let micros = u64::try_from(span.as_micros()).unwrap_or(MAX_MICROS);
        if self.current.is_none() {
            self.current = Histogram::new_with_bounds(1, MAX_MICROS, DIGITS).ok();
        }
        let Some(current) = &mut self.current else {
            return;
        };
        current.saturating_record(micros.clamp(1, MAX_MICROS));
        if current.len() >= WINDOW {
            self.previous = self.current.take();
        }
    }

    /// The span that `share` of the recent ones stayed under; `None` while
    /// too few are known.
    pub(super) fn quantile(&self, share: f64) -> Option<Duration> {
        let mut all = self.current.clone().or_else(|| self.previous.clone())?;
        if let (Some(_), Some(previous)) = (&self.current, &self.previous) {
            all.add(previous).ok()?;
        }
        if all.len() < MIN_OBSERVATIONS {
            return None;
        }
        Some(Duration::from_micros(all.value_at_quantile(share)))
    }
}

#[cfg(test)]
#[path = "latency_sketch_tests.rs"]
mod tests;
