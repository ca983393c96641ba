use crate::gateway::UtilityLevel;
use crate::gateway::decaying_sum::DecayingSum;
use crate::prelude::*;

/// Time constant over which usual arrivals are averaged: several bursts of three to six
/// seconds, so that one of them changes the average little.
const TIME_CONSTANT: Duration = Duration::from_secs(20);

/// Shortest record from which a rate is taken, in seconds: the time of some twenty requests.
const MIN_RECORD_SECONDS: f64 = 1.0;

/// Work that usually arrives at each pool, by utility level.
#[derive(Debug, Default)]
pub(in crate::gateway) struct UsualArrivals {
    since: Option<Instant>,
    pools: FastMap<Arc<str>, Vec<DecayingSum>>,
}

impl UsualArrivals {
    /// Records work that arrives at a pool.
    pub(in crate::gateway) fn record(
        &mut self,
        now: Instant,
        pool: &Arc<str>,
        level: UtilityLevel,
        work: Duration,
    ) {
        self.since.get_or_insert(now);
        let levels = self.pools.entry(Arc::clone(pool)).or_default();
        if levels.len() <= level.index() {
            levels.resize_with(level.index() + 1, DecayingSum::default);
        }
        levels[level.index()].add(now, work.as_secs_f64(), TIME_CONSTANT);
    }

    /// Rate at which work of higher utility than `level` usually arrives at a pool, as a
    /// number of endpoints.
    pub(in crate::gateway) fn before(&self, now: Instant, pool: &str, level: UtilityLevel) -> f64 {
        let Some(since) = self.since else {
            return 0.0;
        };
        let levels = self.pools.get(pool).into_iter().flatten();
        let levels = levels.take(level.index());
        let sum: f64 = levels.map(|sum| sum.value(now, TIME_CONSTANT)).sum();
        // The sum of a short record is smaller than that of a long one.
        let age = now.saturating_duration_since(since).as_secs_f64();
        let constant = TIME_CONSTANT.as_secs_f64();
        let recorded = 1.0 - (-age / constant).exp();
        sum / (constant * recorded).max(MIN_RECORD_SECONDS)
    }
}
