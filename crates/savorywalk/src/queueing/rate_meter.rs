use crate::prelude::*;

/// Time after which an amount has decayed to 1/e.
const DECAY_TIME: Duration = Duration::from_secs(1);

/// Endpoint time used per second, as an exponentially decaying rate.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RateMeter {
    decayed_seconds: f64,
    updated: Option<Instant>,
}

impl RateMeter {
    pub(super) fn add(&mut self, now: Instant, amount: Duration) {
        self.decayed_seconds = self.decayed_at(now) + amount.as_secs_f64();
        self.updated = Some(now);
    }

    /// Endpoint seconds per second: the average number of busy slots.
    pub(super) fn rate(&self, now: Instant) -> f64 {
        self.decayed_at(now) / DECAY_TIME.as_secs_f64()
    }

    fn decayed_at(&self, now: Instant) -> f64 {
        let Some(updated) = self.updated else {
            return 0.0;
        };
        let age = now.saturating_duration_since(updated).as_secs_f64();
        self.decayed_seconds * (-age / DECAY_TIME.as_secs_f64()).exp()
    }
}
