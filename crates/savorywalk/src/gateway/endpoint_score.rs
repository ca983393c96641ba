use std::sync::{Mutex, PoisonError};

use super::stalled_calls::CallProgress;
use super::{PoolMember, RunLedger};
use crate::directory::EndpointRecord;
use crate::hashing::stable_hash;
use crate::prelude::*;
use crate::routing::{AttemptReport, OutstandingTable, PoolHealth};

/// Load of an endpoint relative to the pool's mean up to which it gets the prompts whose prefix
/// it probably has cached.
const MAX_AFFINITY_LOAD_RATIO: f64 = 1.25;

/// Load above the pool's mean, in requests, that cache affinity always allows.
const AFFINITY_LOAD_MARGIN: f64 = 3.0;

/// Cost of an endpoint without recent announcements to control. It is chosen only when all
/// others cost much more.
const SILENT_COST: f64 = 100.0;

/// Cost of an endpoint that sends nothing on any of its calls from this entry.
const STALLED_COST: f64 = 50.0;

/// Cost of an endpoint ejected for its failures; higher than that of a silent one.
const EJECTED_COST: f64 = 1_000.0;

/// Factor on the cost of an endpoint that is still slow after its start.
const COLD_FACTOR: f64 = 1.5;

/// Cost of an endpoint in another data centre, in requests of load.
const DISTANCE_COST: f64 = 0.4;

/// Criteria for choosing the endpoint of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// Hash of the part of the prompt that requests share; `None` if a cache brings nothing.
    pub affinity: Option<u64>,
    /// The preferred data centre.
    pub data_center: &'a str,
    /// Endpoints that the request was already sent to; these are not chosen again.
    pub ledger: &'a RunLedger,
}

/// Chooses endpoints by what this entry has observed of them.
#[derive(Debug)]
pub(super) struct EndpointScores {
    /// Orders endpoints of equal cost, differently at each entry. At an entry with few requests
    /// all endpoints cost the same; in one common order the first would get the requests of all
    /// entries.
    seed: u64,
    pools: Mutex<FastMap<String, PoolHealth>>,
    /// Requests of this entry in progress.
    pub(super) outstanding: OutstandingTable,
    /// When endpoints with requests of this entry in progress last sent something.
    pub(super) progress: CallProgress,
}

impl Default for EndpointScores {
    fn default() -> Self {
        Self {
            seed: rand::random(),
            pools: Mutex::default(),
            outstanding: OutstandingTable::default(),
            progress: CallProgress::default(),
        }
    }
}

impl EndpointScores {
    /// Records the result of an attempt.
    pub(super) fn report(
        &self,
        pool: &str,
        records: &[Arc<EndpointRecord>],
        endpoint: &str,
        report: AttemptReport,
    ) {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        let health = pools.entry(pool.to_string()).or_default();
        let was_ejected = health.record(Instant::now(), records, endpoint, report);
        if was_ejected {
            log_event!(warn, "endpoint_ejected", pool = pool, endpoint = endpoint);
        }
    }

    /// Cost of one more request at `member`.
    pub(super) fn cost(&self, now: Instant, pool: &str, member: &PoolMember) -> EndpointCost {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        let health = pools.entry(pool.to_string()).or_default();
        let outstanding = self.outstanding.count(member.endpoint());
        let mut factor = 1.0;
        let mut surcharge = 0.0;
        if let Some(known) = health.endpoint(member.endpoint()) {
            factor *= known.latency_ratio(now, health.latency_seconds()).max(0.5);
            factor *= known.failure_factor(now);
            if !known.admits(now, outstanding) {
                surcharge += EJECTED_COST;
            }
        }
        if member.is_cold(now) {
            factor *= COLD_FACTOR;
        }
        if member.is_silent {
            surcharge += SILENT_COST;
        }
        if self.progress.is_avoided(now, member.endpoint()) {
            surcharge += STALLED_COST;
        }
        EndpointCost {
            outstanding,
            factor,
            surcharge,
        }
    }

    /// The endpoint for a request; `None` if it was sent to all members already.
    ///
    /// Entries don't know each other's current load, but choose the same endpoint for a
    /// prompt (rendezvous hashing): each ranks the endpoints by a hash of prompt and endpoint
    /// and takes the first one that is neither overloaded, silent nor ejected.
    pub(super) fn place<'a>(
        &self,
        now: Instant,
        pool: &str,
        members: impl Iterator<Item = &'a Arc<PoolMember>>,
        query: PlacementQuery<'_>,
    ) -> Option<&'a Arc<PoolMember>> {
        let untried = members.filter(|member| !query.ledger.was_sent_to(member.endpoint()));
        let costed: Vec<(&Arc<PoolMember>, EndpointCost)> = untried
            .map(|member| (member, self.cost(now, pool, member)))
            .collect();
        let total: u32 = costed.iter().map(|(_, cost)| cost.outstanding).sum();
        let mean = f64::from(total) / costed.len().max(1) as f64;
        let limit = (mean * MAX_AFFINITY_LOAD_RATIO).max(mean + AFFINITY_LOAD_MARGIN);
        if let Some(affinity) = query.affinity {
            let mut usable = costed.iter().filter(|(_, cost)| {
                cost.surcharge == 0.0 && f64::from(cost.outstanding) * cost.factor <= limit
            });
            let rank = |(member, _): &&(&Arc<PoolMember>, EndpointCost)| {
                endpoint_rank(affinity, member.endpoint())
            };
            let preferred = usable.by_ref().min_by_key(rank);
            if let Some((member, _)) = preferred {
                return Some(member);
            }
        }
        let total_cost = |member: &PoolMember, cost: &EndpointCost| {
            let distance = match member.data_center() == query.data_center {
                true => 0.0,
                false => DISTANCE_COST,
            };
            f64::from(cost.outstanding + 1) * cost.factor + distance + cost.surcharge
        };
        let best = costed
            .iter()
            .min_by(|(left_member, left_cost), (right_member, right_cost)| {
                let left = total_cost(left_member, left_cost);
                let right = total_cost(right_member, right_cost);
                let tie_break = |member: &PoolMember| endpoint_rank(self.seed, member.endpoint());
                left.total_cmp(&right)
                    .then_with(|| tie_break(left_member).cmp(&tie_break(right_member)))
            });
        best.map(|(member, _)| *member)
    }
}

/// Cost of one more request at an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndpointCost {
    /// Requests of this entry in progress there.
    pub(super) outstanding: u32,
    /// Factor for latency, failures and a cold start.
    pub(super) factor: f64,
    /// Added cost of an endpoint that is silent, stalled or ejected; 0 for all others.
    pub(super) surcharge: f64,
}

/// Rank of an endpoint for a hash, the same at all entries; the lowest is the first.
pub(super) fn endpoint_rank(hash: u64, endpoint: &str) -> u64 {
    stable_hash(&[&hash.to_le_bytes(), endpoint.as_bytes()])
}

#[cfg(test)]
#[path = "endpoint_score_tests.rs"]
mod tests;
