/// Part of a sample's weight that the first samples have; each later one moves
/// the scale less, until [`LEAST_STEP`].
const FIRST_STEP: f64 = 0.5;

/// Least that a sample moves the logarithm of the scale. With it a change by a
/// factor of two is followed within some seventy samples at the median, and the
/// scale wavers by a few hundredths.
const LEAST_STEP: f64 = 0.02;

/// Bounds of the scale: what is off by more is no figure of an endpoint in use.
const SCALES: std::ops::RangeInclusive<f64> = 0.1..=10.0;

/// Factor by which forecasts have to be multiplied so that a given part of what
/// they forecast takes no longer, learned sample by sample.
///
/// Only the sign of an error counts, not its size, so a slow endpoint, a dead
/// one or a liar moves it no more than any other sample does.
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

    /// Learns from what took `ratio` of its unscaled forecast. Afterwards about
    /// `quantile` of what is like it takes no longer than forecast.
    pub fn observe(&mut self, ratio: f64, quantile: f64) {
        if !ratio.is_finite() {
            return;
        }
        self.samples = self.samples.saturating_add(1);
        let step = (FIRST_STEP / f64::from(self.samples)).max(LEAST_STEP);
        let moved = match ratio > self.scale {
            true => step * quantile,
            false => -step * (1.0 - quantile),
        };
        self.scale = (self.scale * moved.exp()).clamp(*SCALES.start(), *SCALES.end());
    }
}

#[cfg(test)]
#[path = "quantile_scale_tests.rs"]
mod tests;
