use crate::prelude::*;

/// A sum of recent values that decays exponentially.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct DecayingSum {
    sum: f64,
    updated_at: Option<Instant>,
}

impl DecayingSum {
    /// Adds `value`. After `time_constant` about a third of it is left.
    pub(super) fn add(&mut self, now: Instant, value: f64, time_constant: Duration) {
        self.sum = self.value(now, time_constant) + value;
        self.updated_at = Some(now);
    }

    /// The sum, decayed until `now`.
    pub(super) fn value(&self, now: Instant, time_constant: Duration) -> f64 {
        let age = self
            .updated_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.sum * (-age.as_secs_f64() / time_constant.as_secs_f64()).exp()
    }
}
