use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::prelude::*;

/// Draws random election timeouts, so that replicas rarely start elections at the same time.
#[derive(Clone, Debug)]
pub(super) struct ElectionJitter {
    random: ChaCha8Rng,
}

impl ElectionJitter {
    pub(super) fn new(seed: u64) -> Self {
        let random = ChaCha8Rng::seed_from_u64(seed);
        Self { random }
    }

    /// Returns a random time between `base` and twice `base`.
    pub(super) fn timeout(&mut self, base: Duration) -> Duration {
        if base.is_zero() {
            return base;
        }
        base + base.mul_f64(self.random.random_range(0.0..1.0))
    }
}
