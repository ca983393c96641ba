use crate::prelude::*;

/// Time over which the rate of late pieces is averaged: some ten calls.
pub(super) const LATE_RATE_TIME: Duration = Duration::from_secs(2);

/// How many late pieces go into calls, averaged with a memory that fades.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LateRate {
    sum: f64,
    at: Option<Instant>,
}

impl LateRate {
    pub(super) fn note(&mut self, now: Instant, pieces: usize) {
        self.sum = self.faded(now) + pieces as f64;
        self.at = Some(now);
    }

    pub(super) fn per_second(&self, now: Instant) -> f64 {
        self.faded(now) / LATE_RATE_TIME.as_secs_f64()
    }

    fn faded(&self, now: Instant) -> f64 {
        let Some(at) = self.at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        self.sum * (-age / LATE_RATE_TIME.as_secs_f64()).exp()
    }
}
