use crate::gateway::PlanDemand;
use crate::prelude::*;

/// Endpoint time that a plan, or several plans with the same pools, need in each pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct PlanWork {
    /// Endpoint time in each pool, in the order of [`PlanPools`].
    pub(super) by_pool: Vec<Duration>,
    /// Endpoint time in all pools.
    pub(super) total: Duration,
}

/// Pools that a plan uses, sorted, each of them once.
pub(super) type PlanPools = Arc<[Arc<str>]>;

impl PlanWork {
    /// Returns the pools and the work of a plan.
    pub(super) fn of(plan: &PlanDemand) -> (PlanPools, Self) {
        let mut by_pool: BTreeMap<&Arc<str>, Duration> = BTreeMap::new();
        for stage in plan.demands() {
            *by_pool.entry(&stage.pool).or_default() += stage.work;
        }
        let pools = by_pool.keys().map(|pool| Arc::clone(pool)).collect();
        let by_pool: Vec<Duration> = by_pool.into_values().collect();
        let total = by_pool.iter().sum();
        (pools, Self { by_pool, total })
    }

    pub(super) fn add(&mut self, other: &Self) {
        self.by_pool
            .resize(other.by_pool.len().max(self.by_pool.len()), Duration::ZERO);
        for (sum, work) in self.by_pool.iter_mut().zip(&other.by_pool) {
            *sum += *work;
        }
        self.total += other.total;
    }

    pub(super) fn subtract(&mut self, other: &Self) {
        for (sum, work) in self.by_pool.iter_mut().zip(&other.by_pool) {
            *sum = sum.saturating_sub(*work);
        }
        self.total = self.total.saturating_sub(other.total);
    }
}
