use crate::prelude::*;

/// Smallest weight of a new sample against the estimate so far.
const MIN_GAIN: f64 = 0.1;
/// Time after which the weight of older samples has decayed to 1/e, so that a few samples
/// replace a stale estimate even if they are rare.
const DECAY_TIME: Duration = Duration::from_secs(2);
/// Time without samples after which an estimate expires.
const LIFETIME: Duration = Duration::from_secs(30);
/// Deviations by which the high estimate is above the mean. It is near the 95th percentile of
/// an exponential distribution.
const HIGH_DEVIATIONS: u32 = 3;

/// Service time estimated from samples as an exponentially weighted mean and mean deviation,
/// as RFC 6298 does for round-trip times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageEstimate {
    mean: f64,
    deviation: f64,
    samples: u32,
    updated: Instant,
}

impl StageEstimate {
    /// Time from the last sample until the estimate expires.
    pub const LIFETIME: Duration = LIFETIME;

    /// Creates an estimate from its first sample.
    pub fn new(now: Instant, sample: Duration) -> Self {
        Self {
            mean: sample.as_secs_f64(),
            deviation: 0.0,
            samples: 1,
            updated: now,
        }
    }

    /// Adds the service time of a stage that gave its result.
    pub fn add_sample(&mut self, now: Instant, sample: Duration) {
        let age = now.saturating_duration_since(self.updated);
        self.samples = self.samples.saturating_add(1);
        self.updated = now;
        let decayed = 1.0 - (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        let warm_up = 1.0 / f64::from(self.samples);
        let gain = decayed.max(warm_up).max(MIN_GAIN);
        let error = sample.as_secs_f64() - self.mean;
        self.deviation += gain * (error.abs() - self.deviation);
        self.mean += gain * error;
    }

    /// Adds a stage that was cut off after `service` without a result. Its full time is
    /// unknown but longer, so it counts only if `service` already exceeds the mean.
    pub fn add_lower_bound(&mut self, now: Instant, service: Duration) {
        if service.as_secs_f64() > self.mean {
            self.add_sample(now, service);
        }
    }

    /// Whether the last sample is younger than [`Self::LIFETIME`].
    pub fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.updated) < LIFETIME
    }

    /// Expected service time.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// Mean deviation of the service time.
    pub fn deviation(&self) -> Duration {
        Duration::from_secs_f64(self.deviation)
    }

    /// High estimate: a service time that few stages exceed.
    pub fn high(&self) -> Duration {
        self.mean() + self.deviation() * HIGH_DEVIATIONS
    }

    /// Number of samples so far.
    pub fn samples(&self) -> u32 {
        self.samples
    }
}
