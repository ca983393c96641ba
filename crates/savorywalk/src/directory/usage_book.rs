use super::WorkspaceUsage;
use crate::prelude::*;

/// Time in which remembered usage halves; long against the pause between two
/// reports, short against the minutes of a burst.
const HALF_LIFE: Duration = Duration::from_secs(30);

/// Most pairs of pool and workspace remembered; the target has 1,500
/// workspaces and some twenty pools, of which a few pools each are in use.
const MAX_PAIRS: usize = 16_384;

/// Usage below which a pair is forgotten, in microseconds.
const FORGOTTEN_MICROS: f64 = 1_000.0;

/// What other entries gave to workspaces lately, decaying.
#[derive(Debug, Default)]
pub struct UsageBook {
    pairs: FastMap<(u32, u32), DecayingUsage>,
}

#[derive(Clone, Copy, Debug)]
struct DecayingUsage {
    micros: f64,
    at: Instant,
}

impl DecayingUsage {
    fn micros(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.micros * 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}

impl UsageBook {
    /// Adds what one entry reported of one workspace.
    pub fn add(&mut self, now: Instant, usage: &WorkspaceUsage) {
        if self.pairs.len() >= MAX_PAIRS {
            self.forget(now);
        }
        let pair = (usage.pool, usage.workspace);
        let known = self.pairs.get(&pair);
        if known.is_none() && self.pairs.len() >= MAX_PAIRS {
            return;
        }
        let before = known.map_or(0.0, |known| known.micros(now));
        let micros = before + usage.endpoint_micros as f64;
        self.pairs.insert(pair, DecayingUsage { micros, at: now });
    }

    /// Endpoint time that others gave a workspace at a pool lately, both by
    /// their [`WorkspaceUsage::key`].
    pub fn remote(&self, now: Instant, pool: u32, workspace: u32) -> Duration {
        let usage = self.pairs.get(&(pool, workspace));
        let micros = usage.map_or(0.0, |usage| usage.micros(now));
        Duration::from_micros(micros as u64)
    }

    /// Forgets what has decayed to nothing.
    pub fn forget(&mut self, now: Instant) {
        self.pairs
            .retain(|_, usage| usage.micros(now) >= FORGOTTEN_MICROS);
    }
}

#[cfg(test)]
#[path = "usage_book_tests.rs"]
mod tests;
