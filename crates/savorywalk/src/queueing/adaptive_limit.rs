use crate::prelude::*;

/// Initial concurrency for each endpoint that doesn't report its slots.
const INITIAL_SLOTS_PER_ENDPOINT: f64 = 8.0;
/// Bounds of the concurrency for each such endpoint.
const MIN_SLOTS_PER_ENDPOINT: f64 = 1.0;
const MAX_SLOTS_PER_ENDPOINT: f64 = 256.0;
/// Ratio to the baseline service time beyond which the limit shrinks.
const SLOWDOWN_TOLERANCE: f64 = 1.5;
/// Smallest ratio of a step's target to the current limit.
const MIN_GRADIENT: f64 = 0.5;
/// Weight of the target in one step of the limit.
const LIMIT_GAIN: f64 = 0.2;
/// Weight of one sample in the baseline service time.
const BASELINE_GAIN: f64 = 0.01;
/// The baseline is out of date when it exceeds this multiple of the current
/// service time.
const STALE_BASELINE_RATIO: f64 = 2.0;
/// Factor by which each sample reduces an out-of-date baseline.
const STALE_BASELINE_DECAY: f64 = 0.95;

/// Estimates how many stages may run at once at endpoints that don't report
/// their slots, from the stages' service times.
///
/// This is the gradient limit of Netflix's concurrency-limits: the limit
/// shrinks by the ratio of the baseline to the current service time, and
/// otherwise grows by its square root.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    slots_per_endpoint: f64,
    baseline_seconds: Option<f64>,
}

impl Default for AdaptiveLimit {
    fn default() -> Self {
        Self {
            slots_per_endpoint: INITIAL_SLOTS_PER_ENDPOINT,
            baseline_seconds: None,
        }
    }
}

impl AdaptiveLimit {
    /// Stages that may run at once at `endpoints` such endpoints together.
    pub fn slots(&self, endpoints: u32) -> u32 {
        (self.slots_per_endpoint * f64::from(endpoints)).floor() as u32
    }

    /// Updates the limit from a stage that took `service` while `in_use` of
    /// `limit` stages ran. The limit doesn't grow while less than half of it is
    /// used.
    pub fn record_service(&mut self, service: Duration, in_use: u32, limit: u32) {
        let service_seconds = service.as_secs_f64().max(f64::EPSILON);
        let baseline_seconds = self.baseline_seconds.unwrap_or(service_seconds);
        let baseline_seconds =
            baseline_seconds + BASELINE_GAIN * (service_seconds - baseline_seconds);
        let is_stale = baseline_seconds > service_seconds * STALE_BASELINE_RATIO;
        self.baseline_seconds = Some(if is_stale {
            baseline_seconds * STALE_BASELINE_DECAY
        } else {
            baseline_seconds
        });
        let gradient =
            (SLOWDOWN_TOLERANCE * baseline_seconds / service_seconds).clamp(MIN_GRADIENT, 1.0);
        let is_used = u64::from(in_use) * 2 >= u64::from(limit);
        if !is_used && gradient >= 1.0 {
            return;
        }
        let target =
            self.slots_per_endpoint * gradient + self.slots_per_endpoint.sqrt() * gradient.floor();
        let next = self.slots_per_endpoint + LIMIT_GAIN * (target - self.slots_per_endpoint);
        self.slots_per_endpoint = next.clamp(MIN_SLOTS_PER_ENDPOINT, MAX_SLOTS_PER_ENDPOINT);
    }
}
