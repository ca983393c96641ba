use std::sync::{Mutex, PoisonError};

use super::{PoolMember, RunLedger};
use crate::directory::EndpointRecord;
use crate::hashing::stable_hash;
use crate::prelude::*;
use crate::routing::{AttemptReport, OutstandingTable, PoolHealth};

/// How far above the pool's mean an endpoint's own load may be before a prompt
/// goes past the endpoint that probably has its prefix cached.
const AFFINITY_SLACK: f64 = 1.25;

/// Load, in requests, that is always allowed for affinity's sake.
const AFFINITY_FLOOR: f64 = 3.0;

/// Cost of an endpoint of which control has heard nothing lately: taken only
/// when all others are much worse.
const SILENT_COST: f64 = 100.0;

/// Cost of an endpoint that is out for its failures, beyond the silent ones.
const EJECTED_COST: f64 = 1_000.0;

/// Factor on the cost of an endpoint that is still slow after its start.
const COLD_FACTOR: f64 = 1.5;

/// Cost of another data centre, in requests of load.
const DISTANCE_COST: f64 = 0.4;

/// What an attempt needs of its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// Hash of the part of the prompt that requests share; `None` when there
    /// is nothing to gain from a cache.
    pub affinity: Option<u64>,
    /// Data centre in which the work is wanted.
    pub data_center: &'a str,
    /// Where the request was sent already.
    pub ledger: &'a RunLedger,
}

/// What this entry has seen of endpoints, and where it would send work.
#[derive(Debug)]
pub(super) struct EndpointScores {
    /// Orders endpoints of the same cost, at each entry in another way: with few requests an
    /// entry all cost the same, and the first one would get those of all entries.
    seed: u64,
    pools: Mutex<FastMap<String, PoolHealth>>,
    /// Requests of this entry in progress.
    pub(super) outstanding: OutstandingTable,
}

impl Default for EndpointScores {
    fn default() -> Self {
        Self {
            seed: rand::random(),
            pools: Mutex::default(),
            outstanding: OutstandingTable::default(),
        }
    }
}

impl EndpointScores {
    /// Takes in what an attempt showed.
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

    /// Cost of one more request at `member`, load aside: a factor for its
    /// latency and failures, and a surcharge that keeps it for need.
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
        EndpointCost {
            outstanding,
            factor,
            surcharge,
        }
    }

    /// The endpoint for a request, or `None` when nobody is left.
    ///
    /// Entries do not know each other's load in time, but they agree on which
    /// endpoint a prompt belongs to: each ranks the endpoints by a hash of
    /// prompt and endpoint, and goes down the ranking only past endpoints that
    /// are overloaded or ill.
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
        let limit = (mean * AFFINITY_SLACK).max(mean + AFFINITY_FLOOR);
        if let Some(affinity) = query.affinity {
            let mut homes = costed.iter().filter(|(_, cost)| {
                cost.surcharge == 0.0 && f64::from(cost.outstanding) * cost.factor <= limit
            });
            let rank = |(member, _): &&(&Arc<PoolMember>, EndpointCost)| {
                ranking(affinity, member.endpoint())
            };
            let home = homes.by_ref().min_by_key(rank);
            if let Some((member, _)) = home {
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
                let turn = |member: &PoolMember| ranking(self.seed, member.endpoint());
                left.total_cmp(&right)
                    .then_with(|| turn(left_member).cmp(&turn(right_member)))
            });
        best.map(|(member, _)| *member)
    }
}

/// What a request would cost at an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndpointCost {
    /// Requests of this entry in progress there.
    pub(super) outstanding: u32,
    /// Factor for latency and failures.
    pub(super) factor: f64,
    /// What keeps it for need.
    pub(super) surcharge: f64,
}

fn ranking(affinity: u64, endpoint: &str) -> u64 {
    stable_hash(&[&affinity.to_le_bytes(), endpoint.as_bytes()])
}

#[cfg(test)]
#[path = "endpoint_score_tests.rs"]
mod tests;
