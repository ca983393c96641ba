use crate::prelude::*;

/// Time over which an older observation loses all but 1/e of its weight.
const MEMORY: Duration = Duration::from_secs(10);
/// Least weight of a new observation, so that a busy endpoint's change shows
/// within some ten answers.
const MIN_WEIGHT: f64 = 0.1;

/// Mean of durations in which older observations weigh less.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct DecayedMean {
    seconds: f64,
    observed: Instant,
}

impl DecayedMean {
    /// The mean after a first observation.
    pub(super) fn first(now: Instant, span: Duration) -> Self {
        Self {
            seconds: span.as_secs_f64(),
            observed: now,
        }
    }

    /// Takes in an observation. After a long silence it replaces the mean.
    pub(super) fn observe(&mut self, now: Instant, span: Duration) {
        let idle = now.saturating_duration_since(self.observed);
        let weight = 1.0 - (-idle.as_secs_f64() / MEMORY.as_secs_f64()).exp();
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
