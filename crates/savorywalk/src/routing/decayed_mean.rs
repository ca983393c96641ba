use crate::prelude::*;

/// Time after which the weight of earlier observations has decayed to 1/e.
const DECAY_TIME: Duration = Duration::from_secs(10);
/// Minimum weight of a new observation, so that a change at a busy endpoint
/// shows within about ten answers.
const MIN_WEIGHT: f64 = 0.1;

/// Exponentially decaying mean of durations.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct DecayedMean {
    seconds: f64,
    observed: Instant,
}

impl DecayedMean {
    /// Creates the mean from the first observation.
    pub(super) fn first(now: Instant, span: Duration) -> Self {
        Self {
            seconds: span.as_secs_f64(),
            observed: now,
        }
    }

    /// Adds an observation. The longer the time since the last one, the more it
    /// weighs; after a long time it replaces the mean.
    pub(super) fn observe(&mut self, now: Instant, span: Duration) {
        let idle = now.saturating_duration_since(self.observed);
        let weight = 1.0 - (-idle.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        let weight = weight.max(MIN_WEIGHT);
        self.seconds += weight * (span.as_secs_f64() - self.seconds);
        self.observed = now;
    }

    /// The mean, in seconds.
    pub(super) fn seconds(&self) -> f64 {
        self.seconds
    }

    /// Time since the last observation.
    pub(super) fn idle(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.observed)
    }
}
