use crate::prelude::*;

/// Time after which what was counted has faded to 1/e.
const FADE_TIME: Duration = Duration::from_secs(1);

/// Endpoint time per second, from amounts that come at any intervals.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RateMeter {
    faded: f64,
    updated: Option<Instant>,
}

impl RateMeter {
    pub(super) fn add(&mut self, now: Instant, amount: Duration) {
        self.faded = self.faded_at(now) + amount.as_secs_f64();
        self.updated = Some(now);
    }

    /// Endpoint seconds per second, which is endpoints kept busy.
    pub(super) fn rate(&self, now: Instant) -> f64 {
        self.faded_at(now) / FADE_TIME.as_secs_f64()
    }

    fn faded_at(&self, now: Instant) -> f64 {
        let Some(updated) = self.updated else {
            return 0.0;
        };
        let age = now.saturating_duration_since(updated).as_secs_f64();
        self.faded * (-age / FADE_TIME.as_secs_f64()).exp()
    }
}
