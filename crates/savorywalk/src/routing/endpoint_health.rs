use super::AttemptReport;
use super::affinity_credit::AffinityCredit;
use super::decayed_mean::DecayedMean;
use crate::prelude::*;

/// Consecutive failures after which an endpoint is ejected.
const EJECTION_FAILURES: u32 = 3;
/// Duration of the first ejection; each consecutive one is twice as long.
const EJECTION_TIME: Duration = Duration::from_secs(2);
/// Maximum number of doublings of [`EJECTION_TIME`], which makes about a minute.
const MAX_EJECTION_DOUBLINGS: u32 = 5;
/// Time in which the effect of failures on the cost decays by half.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(5);
/// Time in which a latency without new observations decays half-way to its
/// pool's, so that an endpoint that was slow is tried again occasionally.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(10);
/// Time in which the share of a new or recovered endpoint grows to a full one.
const SLOW_START: Duration = Duration::from_secs(10);
/// Initial share of a new or recovered endpoint.
const INITIAL_SHARE: f64 = 0.1;

/// Circuit breaker of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CircuitState {
    Closed,
    /// Gets no attempts until `until`, then one attempt at a time on probation.
    Ejected {
        until: Instant,
        /// Consecutive probations that failed.
        failed_probations: u32,
    },
}

/// Health of one endpoint as observed by this process's attempts.
#[derive(Clone, Debug)]
pub struct EndpointHealth {
    circuit: CircuitState,
    consecutive_failures: u32,
    last_failure: Option<Instant>,
    latency: Option<DecayedMean>,
    recovered: Option<Instant>,
    pub(super) affinity: Option<AffinityCredit>,
}

impl Default for EndpointHealth {
    fn default() -> Self {
        Self {
            circuit: CircuitState::Closed,
            consecutive_failures: 0,
            last_failure: None,
            latency: None,
            recovered: None,
            affinity: None,
        }
    }
}

impl EndpointHealth {
    /// Whether the endpoint may get one more attempt while `outstanding` are in
    /// progress; on probation it gets one at a time.
    pub fn admits(&self, now: Instant, outstanding: u32) -> bool {
        match self.circuit {
            CircuitState::Closed => true,
            CircuitState::Ejected { until, .. } => now >= until && outstanding == 0,
        }
    }

    /// Whether the endpoint is ejected or on probation.
    pub fn is_ejected(&self) -> bool {
        match self.circuit {
            CircuitState::Closed => false,
            CircuitState::Ejected { .. } => true,
        }
    }

    /// Records the outcome of an attempt. Returns whether it ejected the
    /// endpoint; a closed circuit opens only if `may_eject`.
    pub(super) fn record(&mut self, now: Instant, report: AttemptReport, may_eject: bool) -> bool {
        match report {
            AttemptReport::Succeeded(latency) => {
                self.record_success(now, latency);
                false
            }
            AttemptReport::Failed => self.record_failure(now, may_eject),
        }
    }

    fn record_success(&mut self, now: Instant, latency: Duration) {
        match &mut self.latency {
            Some(mean) => mean.observe(now, latency),
            None => self.latency = Some(DecayedMean::first(now, latency)),
        }
        self.consecutive_failures = 0;
        if self.is_ejected() {
            self.circuit = CircuitState::Closed;
            self.recovered = Some(now);
        }
    }

    fn record_failure(&mut self, now: Instant, may_eject: bool) -> bool {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.last_failure = Some(now);
        match self.circuit {
            // Attempts that began before the ejection may still fail; they don't
            // prolong it.
            CircuitState::Ejected { until, .. } if now < until => false,
            CircuitState::Ejected {
                failed_probations, ..
            } => self.eject(now, failed_probations + 1),
            CircuitState::Closed if may_eject && self.consecutive_failures >= EJECTION_FAILURES => {
                self.eject(now, 0)
            }
            CircuitState::Closed => false,
        }
    }

    fn eject(&mut self, now: Instant, failed_probations: u32) -> bool {
        let doublings = failed_probations.min(MAX_EJECTION_DOUBLINGS);
        let until = now + EJECTION_TIME * 2_u32.pow(doublings);
        self.circuit = CircuitState::Ejected {
            until,
            failed_probations,
        };
        true
    }

    /// Cost factor for consecutive failures, which decays to 1 with time.
    pub(crate) fn failure_factor(&self, now: Instant) -> f64 {
        let Some(last_failure) = self.last_failure else {
            return 1.0;
        };
        let age = now.saturating_duration_since(last_failure);
        1.0 + f64::from(self.consecutive_failures) * half_life_decay(age, FAILURE_HALF_LIFE)
    }

    /// Ratio of the endpoint's latency to `pool_seconds`; decays to 1 without new
    /// observations.
    pub(crate) fn latency_ratio(&self, now: Instant, pool_seconds: f64) -> f64 {
        let Some(latency) = &self.latency else {
            return 1.0;
        };
        if pool_seconds <= 0.0 {
            return 1.0;
        }
        let ratio = latency.seconds() / pool_seconds;
        1.0 + (ratio - 1.0) * half_life_decay(latency.idle(now), LATENCY_HALF_LIFE)
    }

    /// Share of its full load that the endpoint gets at `now`. It grows from a
    /// tenth after `joined` and after the end of an ejection.
    pub(super) fn slow_start_share(&self, now: Instant, joined: Instant) -> f64 {
        let slow_start_at = self
            .recovered
            .map_or(joined, |recovered| recovered.max(joined));
        let age = now.saturating_duration_since(slow_start_at);
        (age.as_secs_f64() / SLOW_START.as_secs_f64()).clamp(INITIAL_SHARE, 1.0)
    }
}

/// Exponential decay: 1 at age zero, halved by each half-life.
pub(super) fn half_life_decay(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

#[cfg(test)]
#[path = "endpoint_health_tests.rs"]
mod tests;
