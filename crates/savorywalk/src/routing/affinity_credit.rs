/// Maximum rate of cache-affinity picks of an endpoint, in units of its even
/// share of the pool's picks.
///
/// All daemons may prefer the same holders of a popular prefix, and none sees
/// immediately what the others send. A bound on each daemon's rate bounds the
/// total. At half load, 1.5 shares use three quarters of an engine.
const REFILL_SHARES: f64 = 1.5;
/// Maximum number of accumulated picks, for prefixes that are rare.
const MAX_TOKENS: f64 = 2.0;

/// Token bucket for the picks that an endpoint may get for its prefix cache.
///
/// It refills with the pool's picks rather than with time, so that it doesn't
/// depend on the load.
#[derive(Clone, Copy, Debug)]
pub(super) struct AffinityCredit {
    tokens: f64,
    /// The pool's pick count at the last refill.
    refilled_at_pick: u64,
}

impl AffinityCredit {
    /// A full bucket, at the pool's pick count `picks`.
    pub(super) fn new(picks: u64) -> Self {
        Self {
            tokens: MAX_TOKENS,
            refilled_at_pick: picks,
        }
    }

    /// Whether one more pick is allowed, at the pick count `picks` of a pool of
    /// `size` endpoints.
    pub(super) fn allows(&self, picks: u64, size: usize) -> bool {
        self.refilled(picks, size) >= 1.0
    }

    /// Refills the bucket and removes one pick.
    pub(super) fn spend(&mut self, picks: u64, size: usize) {
        self.tokens = (self.refilled(picks, size) - 1.0).max(0.0);
        self.refilled_at_pick = picks;
    }

    fn refilled(&self, picks: u64, size: usize) -> f64 {
        let new_picks = picks.saturating_sub(self.refilled_at_pick) as f64;
        (self.tokens + REFILL_SHARES * new_picks / size.max(1) as f64).min(MAX_TOKENS)
    }
}
