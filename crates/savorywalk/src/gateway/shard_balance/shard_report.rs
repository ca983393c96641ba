use crate::gateway::plan_scheduler::{PlanDemand, PoolRates};
use crate::gateway::pool_load::PoolRate;
use crate::gateway::work_shard::WorkShard;
use crate::generated::work::{PoolLoadReport, ShardLoadNotice};
use crate::prelude::*;

/// Wait assumed in a pool without usable endpoints: longer than the deadline of any plan.
const UNUSABLE_WAIT: Duration = Duration::from_secs(60);

/// Backlog and rate of a shard's pools at one time.
#[derive(Clone, Debug, Default, PartialEq)]
pub(in crate::gateway) struct ShardReport {
    pools: FastMap<Arc<str>, PoolReport>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct PoolReport {
    /// Time in which the pool does the work that waits for it.
    pub(super) backlog: Duration,
    pub(super) rate: PoolRate,
}

impl ShardReport {
    /// Reports all pools in `rates`; those without an entry in `backlogs` have none.
    pub(in crate::gateway) fn new(
        backlogs: &FastMap<Arc<str>, Duration>,
        rates: &PoolRates,
    ) -> Self {
        let pools = rates.iter().map(|(pool, rate)| {
            let report = PoolReport {
                backlog: backlogs.get(pool).copied().unwrap_or_default(),
                rate: *rate,
            };
            (Arc::clone(pool), report)
        });
        Self {
            pools: pools.collect(),
        }
    }

    /// Reads the report in a notice.
    pub(in crate::gateway) fn from_notice(notice: &ShardLoadNotice) -> Self {
        let pools = notice.pools.iter().map(|pool| {
            let report = PoolReport {
                backlog: Duration::from_millis(pool.backlog_ms.into()),
                rate: PoolRate {
                    endpoints: f64::from(pool.rate_permille) / 1_000.0,
                },
            };
            (Arc::from(pool.pool.as_str()), report)
        });
        Self {
            pools: pools.collect(),
        }
    }

    /// Returns the notice with this report on a shard.
    pub(in crate::gateway) fn to_notice(
        &self,
        shard: &WorkShard,
        sequence: u64,
    ) -> ShardLoadNotice {
        let pools = self.pools.iter().map(|(pool, report)| PoolLoadReport {
            pool: pool.to_string(),
            backlog_ms: report.backlog.as_millis() as u32,
            rate_permille: (report.rate.endpoints * 1_000.0) as u32,
        });
        ShardLoadNotice {
            shard: shard.name().to_string(),
            sequence,
            pools: pools.collect(),
        }
    }

    /// Longest backlog of a pool.
    pub(in crate::gateway) fn longest_backlog(&self) -> Duration {
        let backlogs = self.pools.values().map(|report| report.backlog);
        backlogs.max().unwrap_or_default()
    }

    /// Time until a plan begins behind a share of the backlog of its pools, and `added` seconds
    /// of endpoint time in each pool; `None` if a pool of the plan is not reported.
    pub(in crate::gateway) fn wait(
        &self,
        plan: &PlanDemand,
        preceding_share: f64,
        added: impl Fn(&str) -> f64,
    ) -> Option<Duration> {
        let stages = plan.stages.iter().filter(|stage| !stage.work.is_zero());
        let mut longest = Duration::ZERO;
        for stage in stages {
            let report = self.pools.get(&stage.pool)?;
            let wait = match report.rate.endpoints > 0.0 {
                true => {
                    let backlog = report.backlog.mul_f64(preceding_share);
                    backlog + report.rate.time_for(added(&stage.pool))
                }
                false => UNUSABLE_WAIT,
            };
            longest = longest.max(wait);
        }
        Some(longest)
    }

    pub(super) fn pool(&self, name: &str) -> Option<&PoolReport> {
        self.pools.get(name)
    }

    pub(super) fn pools(&self) -> impl Iterator<Item = (&str, &PoolReport)> {
        let pools = self.pools.iter();
        pools.map(|(name, report)| (name.as_ref(), report))
    }
}
