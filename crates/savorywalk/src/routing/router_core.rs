use rand::RngExt;

use super::candidate_cost::{RouteCandidate, candidate_cost, reported_remote_load};
use super::candidate_sampler::{CandidateSampler, Candidates};
use super::pool_health::find;
use super::{AttemptReport, OutstandingTable, PoolHealth, PrefixHints, PromptPrefix, RouteQuery};
use crate::directory::{CacheEvent, EndpointRecord};
use crate::prelude::*;

/// Maximum number of candidates from prefix hints, in addition to the sampled
/// ones.
const MAX_HINTED: usize = 2;

/// The adaptive policy, as a state machine without a clock or a random number
/// generator of its own.
#[derive(Debug)]
pub struct RouterCore {
    data_center: String,
    pools: FastMap<String, PoolHealth>,
    hints: PrefixHints,
}

impl RouterCore {
    /// Creates the policy of a daemon in `data_center`.
    pub fn new(data_center: &str) -> Self {
        Self {
            data_center: data_center.to_string(),
            pools: FastMap::default(),
            hints: PrefixHints::default(),
        }
    }

    /// Picks the endpoint with the least cost; `None` if no endpoint serves the
    /// query.
    ///
    /// The candidates are all endpoints of a small pool, or two random ones of a
    /// large pool, and a few that probably have the prompt's prefix cached. An
    /// endpoint that is ejected or has already failed this stage is picked only
    /// if there is no other.
    pub fn pick<'a>(
        &mut self,
        now: Instant,
        random: &mut impl RngExt,
        pool: &'a [Arc<EndpointRecord>],
        query: RouteQuery<'_>,
        outstanding: &OutstandingTable,
    ) -> Option<&'a Arc<EndpointRecord>> {
        let health = match self.pools.get_mut(query.pool) {
            Some(health) => health,
            None => self.pools.entry(query.pool.to_string()).or_default(),
        };
        let sampled = sample_candidates(now, random, pool, query, health, outstanding);
        let first = sampled.first()?;
        let own = outstanding.count(&first.announcement.endpoint);
        health.record_pick(reported_remote_load(first, own));
        let hinted = self.hints.holders(now, query.prefix);
        let hinted = hinted
            .filter_map(|(endpoint, share)| Some((find(pool, endpoint)?, share)))
            .filter(|(record, _)| {
                is_admitted(now, record, query, health, outstanding)
                    && health.allows_affinity(&record.announcement.endpoint, pool.len())
            })
            .take(MAX_HINTED);
        let sampled = sampled.into_iter().map(|record| (record, 0.0));
        let candidates = hinted
            .chain(sampled)
            .map(|(record, held_prefix)| RouteCandidate {
                record,
                outstanding: outstanding.count(&record.announcement.endpoint),
                held_prefix,
            });
        let cost = |candidate| candidate_cost(now, &self.data_center, health, candidate);
        let best = candidates
            .map(|candidate| (candidate, cost(candidate)))
            .min_by(|(_, left), (_, right)| left.total_cmp(right));
        let (best, _) = best?;
        if best.held_prefix > 0.0 {
            health.spend_affinity(&best.record.announcement.endpoint, pool);
        }
        Some(best.record)
    }

    /// Records the outcome of an attempt at `endpoint` of the pool `name`; returns
    /// whether it ejected the endpoint.
    pub fn report(
        &mut self,
        now: Instant,
        name: &str,
        pool: &[Arc<EndpointRecord>],
        endpoint: &str,
        report: AttemptReport,
    ) -> bool {
        let health = match self.pools.get_mut(name) {
            Some(health) => health,
            None => self.pools.entry(name.to_string()).or_default(),
        };
        health.record(now, pool, endpoint, report)
    }

    /// Records that `endpoint` has just processed a prompt with this prefix.
    pub fn record_prefix(&mut self, now: Instant, endpoint: &str, prefix: &PromptPrefix) {
        for hash in prefix.landmarks() {
            self.hints.record_stored(now, hash, endpoint);
        }
    }

    /// Applies the changes that an endpoint reported of its prefix cache.
    pub fn apply_cache_events(&mut self, now: Instant, endpoint: &str, events: &[CacheEvent]) {
        for event in events {
            self.hints.apply_event(now, endpoint, *event);
        }
    }
}

/// Samples endpoints from the first of these groups that is not empty: those
/// admitted, those that have not failed this stage, all that serve the query.
fn sample_candidates<'a>(
    now: Instant,
    random: &mut impl RngExt,
    pool: &'a [Arc<EndpointRecord>],
    query: RouteQuery<'_>,
    health: &PoolHealth,
    outstanding: &OutstandingTable,
) -> Candidates<'a> {
    let sampler = CandidateSampler::new(pool);
    let admitted = sampler.candidates(random, |record| {
        is_admitted(now, record, query, health, outstanding)
    });
    if !admitted.is_empty() {
        return admitted;
    }
    let untried = sampler.candidates(random, |record| {
        query.is_served_by(now, record) && !query.excludes(&record.announcement.endpoint)
    });
    if !untried.is_empty() {
        return untried;
    }
    sampler.candidates(random, |record| query.is_served_by(now, record))
}

fn is_admitted(
    now: Instant,
    record: &EndpointRecord,
    query: RouteQuery<'_>,
    health: &PoolHealth,
    outstanding: &OutstandingTable,
) -> bool {
    let endpoint = &record.announcement.endpoint;
    query.is_served_by(now, record)
        && !query.excludes(endpoint)
        && health
            .endpoint(endpoint)
            .is_none_or(|known| known.admits(now, outstanding.count(endpoint)))
}
