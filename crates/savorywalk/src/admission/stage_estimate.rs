use crate::prelude::*;

/// Least part of the estimate that one sample replaces.
const MIN_GAIN: f64 = 0.1;
/// Time after which old samples count for 1/e of the estimate, so that rare
/// samples replace a stale estimate in a few steps.
const DECAY_TIME: Duration = Duration::from_secs(2);
/// An estimate without samples for so long says nothing any more.
const LIFETIME: Duration = Duration::from_secs(30);
/// Deviations above the mean of the high estimate: near the 95th percentile of
/// an exponential distribution.
const HIGH_DEVIATIONS: u32 = 3;

/// Service time learnt from samples: a decayed mean and a decayed mean
/// deviation, as RFC 6298 does for round trips.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageEstimate {
    mean: f64,
    deviation: f64,
    samples: u32,
    updated: Instant,
}

impl StageEstimate {
    /// Time after its last sample until an estimate says nothing any more.
    pub const LIFETIME: Duration = LIFETIME;

    /// An estimate from its first sample.
    pub fn new(now: Instant, sample: Duration) -> Self {
        Self {
            mean: sample.as_secs_f64(),
            deviation: 0.0,
            samples: 1,
            updated: now,
        }
    }

    /// Learns from a stage that took `sample`.
    pub fn learn(&mut self, now: Instant, sample: Duration) {
        let age = now.saturating_duration_since(self.updated);
        self.samples = self.samples.saturating_add(1);
        self.updated = now;
        let decayed = 1.0 - (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        let warming = 1.0 / f64::from(self.samples);
        let gain = decayed.max(warming).max(MIN_GAIN);
        let error = sample.as_secs_f64() - self.mean;
        self.deviation += gain * (error.abs() - self.deviation);
        self.mean += gain * error;
    }

    /// Learns from a stage that was ended after `least` without a result: it
    /// would have taken longer, which says nothing unless it was slow already.
    pub fn learn_at_least(&mut self, now: Instant, least: Duration) {
        if least.as_secs_f64() > self.mean {
            self.learn(now, least);
        }
    }

    /// Whether samples came recently enough to rely on.
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

    /// A service time that few stages exceed.
    pub fn high(&self) -> Duration {
        self.mean() + self.deviation() * HIGH_DEVIATIONS
    }

    /// Samples seen.
    pub fn samples(&self) -> u32 {
        self.samples
    }
}
