/// Most of an endpoint's even share of the pool's picks that may come to it
/// for its cache.
///
/// All daemons may know the same holders of a popular prefix, and none sees at
/// once what the others send; a bound on each one's rate bounds the sum. At
/// half load, one and a half shares fill three quarters of an engine.
const MAX_SHARES: f64 = 1.5;
/// Picks that may be saved up, for prefixes that come seldom.
const MAX_SAVED: f64 = 2.0;

/// How many more picks an endpoint may get for its cache.
///
/// It refills with the pool's picks rather than with time, so it needs no
/// tuning for the load.
#[derive(Clone, Copy, Debug)]
pub(super) struct AffinityCredit {
    saved: f64,
    /// The pool's count of picks at the last change.
    counted: u64,
}

impl AffinityCredit {
    /// A full credit.
    pub(super) fn new(picks: u64) -> Self {
        Self {
            saved: MAX_SAVED,
            counted: picks,
        }
    }

    /// Whether one more pick may be had after `picks` in a pool of `size`.
    pub(super) fn allows(&self, picks: u64, size: usize) -> bool {
        self.at(picks, size) >= 1.0
    }

    /// Takes one pick off.
    pub(super) fn spend(&mut self, picks: u64, size: usize) {
        self.saved = (self.at(picks, size) - 1.0).max(0.0);
        self.counted = picks;
    }

    fn at(&self, picks: u64, size: usize) -> f64 {
        let since = picks.saturating_sub(self.counted) as f64;
        (self.saved + MAX_SHARES * since / size.max(1) as f64).min(MAX_SAVED)
    }
}
