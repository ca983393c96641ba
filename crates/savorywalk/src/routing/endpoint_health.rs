use super::AttemptReport;
use super::affinity_credit::AffinityCredit;
use super::decayed_mean::DecayedMean;
use crate::prelude::*;

/// Failures in a row after which an endpoint is ejected.
const EJECTION_FAILURES: u32 = 3;
/// First time out; each further one in a row is twice as long.
const EJECTION_TIME: Duration = Duration::from_secs(2);
/// Longest time out, as exponent of two over [`EJECTION_TIME`]: about a minute.
const MAX_EJECTION_DOUBLINGS: u32 = 5;
/// Time in which the memory of failures fades to half.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(5);
/// Time in which an unproven latency fades half-way to its pool's, so that an
/// endpoint which was slow gets a trial now and then.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(10);
/// Time over which a newcomer's share grows to a full one.
const SLOW_START: Duration = Duration::from_secs(10);
/// Share with which a newcomer begins.
const FIRST_SHARE: f64 = 0.1;

/// Whether an endpoint takes part in routing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CircuitState {
    Closed,
    /// Out until `until`; after it on probation, one attempt at a time.
    Ejected {
        until: Instant,
        strikes: u32,
    },
}

/// What this process has seen of one endpoint.
#[derive(Clone, Debug)]
pub struct EndpointHealth {
    circuit: CircuitState,
    failures: u32,
    failed: Option<Instant>,
    latency: Option<DecayedMean>,
    recovered: Option<Instant>,
    pub(super) affinity: Option<AffinityCredit>,
}

impl Default for EndpointHealth {
    fn default() -> Self {
        Self {
            circuit: CircuitState::Closed,
            failures: 0,
            failed: None,
            latency: None,
            recovered: None,
            affinity: None,
        }
    }
}

impl EndpointHealth {
    /// Whether one more attempt may go there while `outstanding` are in
    /// progress: on probation, one at a time.
    pub fn admits(&self, now: Instant, outstanding: u32) -> bool {
        match self.circuit {
            CircuitState::Closed => true,
            CircuitState::Ejected { until, .. } => now >= until && outstanding == 0,
        }
    }

    /// Whether it is out or on probation.
    pub fn is_ejected(&self) -> bool {
        match self.circuit {
            CircuitState::Closed => false,
            CircuitState::Ejected { .. } => true,
        }
    }

    /// Takes in what an attempt showed; tells whether that ejected the
    /// endpoint, which it does only if `may_eject`.
    pub(super) fn record(&mut self, now: Instant, report: AttemptReport, may_eject: bool) -> bool {
        match report {
            AttemptReport::Succeeded(latency) => {
                self.succeed(now, latency);
                false
            }
            AttemptReport::Failed => self.fail(now, may_eject),
        }
    }

    fn succeed(&mut self, now: Instant, latency: Duration) {
        match &mut self.latency {
            Some(mean) => mean.observe(now, latency),
            None => self.latency = Some(DecayedMean::first(now, latency)),
        }
        self.failures = 0;
        if self.is_ejected() {
            self.circuit = CircuitState::Closed;
            self.recovered = Some(now);
        }
    }

    fn fail(&mut self, now: Instant, may_eject: bool) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.failed = Some(now);
        match self.circuit {
            // An attempt from before the ejection tells nothing new.
            CircuitState::Ejected { until, .. } if now < until => false,
            CircuitState::Ejected { strikes, .. } => self.eject(now, strikes + 1),
            CircuitState::Closed if may_eject && self.failures >= EJECTION_FAILURES => {
                self.eject(now, 0)
            }
            CircuitState::Closed => false,
        }
    }

    fn eject(&mut self, now: Instant, strikes: u32) -> bool {
        let doublings = strikes.min(MAX_EJECTION_DOUBLINGS);
        let until = now + EJECTION_TIME * 2_u32.pow(doublings);
        self.circuit = CircuitState::Ejected { until, strikes };
        true
    }

    /// Factor on the cost for failures in a row, fading with time.
    pub(crate) fn failure_factor(&self, now: Instant) -> f64 {
        let Some(failed) = self.failed else {
            return 1.0;
        };
        let age = now.saturating_duration_since(failed);
        1.0 + f64::from(self.failures) * fading(age, FAILURE_HALF_LIFE)
    }

    /// Latency in units of its pool's, fading to 1 while nothing proves it.
    pub(crate) fn latency_ratio(&self, now: Instant, pool_seconds: f64) -> f64 {
        let Some(latency) = &self.latency else {
            return 1.0;
        };
        if pool_seconds <= 0.0 {
            return 1.0;
        }
        let ratio = latency.seconds() / pool_seconds;
        1.0 + (ratio - 1.0) * fading(latency.idle(now), LATENCY_HALF_LIFE)
    }

    /// Share of its full part that the endpoint gets at `now`, when it joined
    /// at `joined`: it grows from a tenth, also after an ejection.
    pub(super) fn slow_start_share(&self, now: Instant, joined: Instant) -> f64 {
        let begun = self
            .recovered
            .map_or(joined, |recovered| recovered.max(joined));
        let age = now.saturating_duration_since(begun);
        (age.as_secs_f64() / SLOW_START.as_secs_f64()).clamp(FIRST_SHARE, 1.0)
    }
}

/// 1 at age zero, a half after each half-life.
pub(super) fn fading(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

#[cfg(test)]
#[path = "endpoint_health_tests.rs"]
mod tests;
