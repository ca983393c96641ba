/// Step of the first sample. The step of sample n is smaller by a factor of n, down to
/// [`MIN_STEP`].
const FIRST_STEP: f64 = 0.5;

/// Smallest step of the logarithm of the scale. At the median it follows a change by a factor
/// of two within some seventy samples, and the scale fluctuates by a few hundredths.
const MIN_STEP: f64 = 0.02;

/// Range of the scale; no endpoint in use differs from its forecast by more.
const SCALE_RANGE: std::ops::RangeInclusive<f64> = 0.1..=10.0;

/// A factor for forecasts, learned from samples, with which a given quantile of the actual
/// times is within the forecast.
///
/// Only the sign of an error counts, not its size, so outliers weigh no more than other
/// samples: those of an endpoint that is slow, has failed or reports false times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuantileScale {
    scale: f64,
    samples: u32,
}

impl Default for QuantileScale {
    fn default() -> Self {
        Self {
            scale: 1.0,
            samples: 0,
        }
    }
}

impl QuantileScale {
    /// The factor as learned so far; 1 before any sample.
    pub fn scale(&self) -> f64 {
        self.scale
    }

    /// Learns from a sample that took `ratio` times its unscaled forecast. After enough
    /// samples about `quantile` of similar ones take no longer than the scaled forecast.
    pub fn observe(&mut self, ratio: f64, quantile: f64) {
        if !ratio.is_finite() {
            return;
        }
        self.samples = self.samples.saturating_add(1);
        let step = (FIRST_STEP / f64::from(self.samples)).max(MIN_STEP);
        let moved = match ratio > self.scale {
            true => step * quantile,
            false => -step * (1.0 - quantile),
        };
        self.scale = (self.scale * moved.exp()).clamp(*SCALE_RANGE.start(), *SCALE_RANGE.end());
    }
}

#[cfg(test)]
#[path = "quantile_scale_tests.rs"]
mod tests;
