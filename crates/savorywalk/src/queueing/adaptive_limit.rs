use crate::prelude::*;

/// Concurrency to start from, for each endpoint that doesn't tell its slots.
const INITIAL_PER_ENDPOINT: f64 = 8.0;
/// Least and most concurrency for each such endpoint.
const MIN_PER_ENDPOINT: f64 = 1.0;
const MAX_PER_ENDPOINT: f64 = 256.0;
/// How much slower than usual a stage may be before the limit shrinks.
const TOLERANCE: f64 = 1.5;
/// Least factor of one step down.
const MIN_GRADIENT: f64 = 0.5;
/// Part of the old limit that a step replaces.
const STEP_GAIN: f64 = 0.2;
/// Part of the usual time that one sample replaces.
const USUAL_GAIN: f64 = 0.01;
/// When the usual time is so many times the present one it is out of date.
const STALE_FACTOR: f64 = 2.0;
/// How fast an out of date usual time falls.
const STALE_DECAY: f64 = 0.95;

/// Finds how many stages to run at once from how long they take, for endpoints
/// that don't tell their slots.
///
/// After the gradient limit of Netflix's concurrency-limits: the limit shrinks
/// by the ratio of the usual time to the present one, and otherwise grows by
/// its square root.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    per_endpoint: f64,
    usual: Option<f64>,
}

impl Default for AdaptiveLimit {
    fn default() -> Self {
        Self {
            per_endpoint: INITIAL_PER_ENDPOINT,
            usual: None,
        }
    }
}

impl AdaptiveLimit {
    /// The limit for `endpoints` endpoints.
    pub fn slots(&self, endpoints: u32) -> u32 {
        (self.per_endpoint * f64::from(endpoints)).floor() as u32
    }

    /// Learns from a stage that took `service` while `in_use` of `limit` ran.
    pub fn learn(&mut self, service: Duration, in_use: u32, limit: u32) {
        let present = service.as_secs_f64().max(f64::EPSILON);
        let usual = self.usual.unwrap_or(present);
        let usual = usual + USUAL_GAIN * (present - usual);
        let is_stale = usual > present * STALE_FACTOR;
        self.usual = Some(if is_stale { usual * STALE_DECAY } else { usual });
        let gradient = (TOLERANCE * usual / present).clamp(MIN_GRADIENT, 1.0);
        let is_used = u64::from(in_use) * 2 >= u64::from(limit);
        if !is_used && gradient >= 1.0 {
            return;
        }
        let target = self.per_endpoint * gradient + self.per_endpoint.sqrt() * gradient.floor();
        let next = self.per_endpoint + STEP_GAIN * (target - self.per_endpoint);
        self.per_endpoint = next.clamp(MIN_PER_ENDPOINT, MAX_PER_ENDPOINT);
    }
}
