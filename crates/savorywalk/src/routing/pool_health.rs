use super::affinity_credit::AffinityCredit;
use super::decayed_mean::DecayedMean;
use super::{AttemptReport, EndpointHealth};
use crate::directory::EndpointRecord;
use crate::prelude::*;

/// Maximum share of a pool that may be ejected at once. If more endpoints fail,
/// the cause is probably elsewhere, and the rest would be overloaded.
const MAX_EJECTED_SHARE: f64 = 0.3;
/// Entries kept beyond the pool's size before endpoints that have left the pool
/// are removed.
const SPARE_ENTRIES: usize = 16;
/// Weight of one endpoint's report in the pool's mean load.
const REPORT_WEIGHT: f64 = 0.05;
/// Bounds of the half-life of a load report's weight. The half-life is the
/// pool's mean latency, in which about the whole queue of an endpoint changes.
const REPORT_HALF_LIVES: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(4));

/// Health of the endpoints of one pool as observed by this process.
#[derive(Debug, Default)]
pub struct PoolHealth {
    endpoints: FastMap<String, EndpointHealth>,
    latency: Option<DecayedMean>,
    picks: u64,
    /// Mean load per slot that endpoints have from other processes.
    remote_load_per_slot: f64,
}

impl PoolHealth {
    /// Health of `endpoint`; `None` before its first attempt outcome or affinity
    /// pick.
    pub fn endpoint(&self, endpoint: &str) -> Option<&EndpointHealth> {
        self.endpoints.get(endpoint)
    }

    /// Mean latency of the pool in seconds; 0 before the first answer.
    pub fn latency_seconds(&self) -> f64 {
        self.latency.map_or(0.0, |latency| latency.seconds())
    }

    /// Expected load per slot that an endpoint without a fresh load report has
    /// from other processes.
    pub(super) fn mean_remote_load(&self) -> f64 {
        self.remote_load_per_slot
    }

    /// Half-life of a load report's weight.
    pub(super) fn report_half_life(&self) -> Duration {
        let (shortest, longest) = REPORT_HALF_LIVES;
        let latency = self
            .latency
            .map_or(longest.as_secs_f64(), |mean| mean.seconds());
        Duration::from_secs_f64(latency.clamp(shortest.as_secs_f64(), longest.as_secs_f64()))
    }

    /// Counts a pick, with the reported load per slot that one of its candidates
    /// has from other processes.
    pub(super) fn record_pick(&mut self, remote_load_per_slot: f64) {
        self.picks += 1;
        self.remote_load_per_slot +=
            REPORT_WEIGHT * (remote_load_per_slot - self.remote_load_per_slot);
    }

    /// Whether `endpoint` may get one more pick for its cache.
    pub(super) fn allows_affinity(&self, endpoint: &str, size: usize) -> bool {
        let credit = self.endpoint(endpoint).and_then(|health| health.affinity);
        credit.is_none_or(|credit| credit.allows(self.picks, size))
    }

    /// Counts a pick that `endpoint` got for its cache.
    pub(super) fn spend_affinity(&mut self, endpoint: &str, pool: &[Arc<EndpointRecord>]) {
        self.remove_departed(pool);
        let picks = self.picks;
        let health = self.endpoints.entry(endpoint.to_string()).or_default();
        let credit = health.affinity.get_or_insert(AffinityCredit::new(picks));
        credit.spend(picks, pool.len());
    }

    /// Records the outcome of an attempt; returns whether it ejected the endpoint.
    pub fn record(
        &mut self,
        now: Instant,
        pool: &[Arc<EndpointRecord>],
        endpoint: &str,
        report: AttemptReport,
    ) -> bool {
        if let AttemptReport::Succeeded(latency) = report {
            match &mut self.latency {
                Some(mean) => mean.observe(now, latency),
                None => self.latency = Some(DecayedMean::first(now, latency)),
            }
        }
        self.remove_departed(pool);
        let may_eject = match report {
            AttemptReport::Succeeded(_) => false,
            AttemptReport::Failed => self.ejected_count() < max_ejected(pool.len()),
        };
        let health = match self.endpoints.get_mut(endpoint) {
            Some(health) => health,
            None => self.endpoints.entry(endpoint.to_string()).or_default(),
        };
        health.record(now, report, may_eject)
    }

    fn ejected_count(&self) -> usize {
        let endpoints = self.endpoints.values();
        endpoints.filter(|health| health.is_ejected()).count()
    }

    fn remove_departed(&mut self, pool: &[Arc<EndpointRecord>]) {
        if self.endpoints.len() < pool.len() + SPARE_ENTRIES {
            return;
        }
        self.endpoints.retain(|name, _| find(pool, name).is_some());
    }
}

/// The record of `endpoint` in `pool`, which must be sorted by name.
pub(super) fn find<'a>(
    pool: &'a [Arc<EndpointRecord>],
    endpoint: &str,
) -> Option<&'a Arc<EndpointRecord>> {
    let index = pool.binary_search_by(|record| record.announcement.endpoint.as_str().cmp(endpoint));
    index.ok().map(|index| &pool[index])
}

/// Maximum number of ejected endpoints: none in a pool of one, at least one in
/// other pools.
fn max_ejected(pool: usize) -> usize {
    if pool < 2 {
        return 0;
    }
    ((pool as f64 * MAX_EJECTED_SHARE) as usize).max(1)
}

#[cfg(test)]
#[path = "pool_health_tests.rs"]
mod tests;
