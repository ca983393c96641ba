use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use rand::RngExt;

use super::{AttemptReport, OutstandingTable, PromptPrefix, RouteQuery, RouterCore, RoutingPolicy};
use crate::directory::{CacheEvent, DirectorySnapshot, EndpointRecord};
use crate::prelude::*;

/// Picks the endpoints of attempts by one policy.
#[derive(Debug)]
pub struct EndpointRouter {
    policy: RoutingPolicy,
    rotation: AtomicUsize,
    /// Locked for a few microseconds per pick; see docs/measurements/routing.md.
    core: Mutex<RouterCore>,
    /// Attempts that this process has in progress, by endpoint.
    pub outstanding: OutstandingTable,
}

impl EndpointRouter {
    /// Creates the router of a daemon in `data_center`.
    pub fn new(policy: RoutingPolicy, data_center: &str) -> Self {
        Self {
            policy,
            rotation: AtomicUsize::new(0),
            core: Mutex::new(RouterCore::new(data_center)),
            outstanding: OutstandingTable::default(),
        }
    }

    /// Picks the endpoint for an attempt; `None` if no endpoint serves the query.
    pub fn pick(
        &self,
        now: Instant,
        directory: &DirectorySnapshot,
        query: RouteQuery<'_>,
    ) -> Option<Arc<EndpointRecord>> {
        self.pick_with(now, &mut rand::rng(), directory, query)
    }

    /// Like [`Self::pick`], with the caller's random number generator.
    pub fn pick_with(
        &self,
        now: Instant,
        random: &mut impl RngExt,
        directory: &DirectorySnapshot,
        query: RouteQuery<'_>,
    ) -> Option<Arc<EndpointRecord>> {
        let pool = directory.pool(query.pool);
        let picked = match self.policy {
            RoutingPolicy::RoundRobin => self.round_robin(&candidates(now, pool, query)),
            RoutingPolicy::LeastOutstanding => {
                self.least_outstanding(&candidates(now, pool, query))
            }
            RoutingPolicy::Adaptive => {
                self.core()
                    .pick(now, random, pool, query, &self.outstanding)
            }
        };
        picked.cloned()
    }

    /// Records the outcome of an attempt at `endpoint`; returns whether it
    /// ejected the endpoint. The baseline policies ignore outcomes.
    pub fn report(
        &self,
        now: Instant,
        directory: &DirectorySnapshot,
        pool: &str,
        endpoint: &str,
        report: AttemptReport,
    ) -> bool {
        match self.policy {
            RoutingPolicy::RoundRobin | RoutingPolicy::LeastOutstanding => false,
            RoutingPolicy::Adaptive => {
                let records = directory.pool(pool);
                self.core().report(now, pool, records, endpoint, report)
            }
        }
    }

    /// Records that `endpoint` has just processed a prompt with this prefix.
    pub fn record_prefix(&self, now: Instant, endpoint: &str, prefix: &PromptPrefix) {
        self.core().record_prefix(now, endpoint, prefix);
    }

    /// Applies the changes that an endpoint reported of its prefix cache.
    pub fn apply_cache_events(&self, now: Instant, endpoint: &str, events: &[CacheEvent]) {
        self.core().apply_cache_events(now, endpoint, events);
    }

    fn core(&self) -> MutexGuard<'_, RouterCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn round_robin<'a>(
        &self,
        candidates: &[&'a Arc<EndpointRecord>],
    ) -> Option<&'a Arc<EndpointRecord>> {
        let rotation = self.rotation.fetch_add(1, Ordering::Relaxed);
        let index = rotation.checked_rem(candidates.len())?;
        Some(candidates[index])
    }

    fn least_outstanding<'a>(
        &self,
        candidates: &[&'a Arc<EndpointRecord>],
    ) -> Option<&'a Arc<EndpointRecord>> {
        let rotation = self.rotation.fetch_add(1, Ordering::Relaxed);
        let rotated =
            (0..candidates.len()).map(|index| candidates[(index + rotation) % candidates.len()]);
        rotated.min_by_key(|record| self.outstanding.count(&record.announcement.endpoint))
    }
}

/// Candidates of the baseline policies: all endpoints that serve the query,
/// without those that failed the stage unless all of them did.
fn candidates<'a>(
    now: Instant,
    pool: &'a [Arc<EndpointRecord>],
    query: RouteQuery<'_>,
) -> Vec<&'a Arc<EndpointRecord>> {
    let serving = pool.iter().filter(|record| query.is_served_by(now, record));
    let serving: Vec<&Arc<EndpointRecord>> = serving.collect();
    let untried = serving.iter().copied();
    let untried: Vec<&Arc<EndpointRecord>> = untried
        .filter(|record| !query.excludes(&record.announcement.endpoint))
        .collect();
    if untried.is_empty() { serving } else { untried }
}

#[cfg(test)]
#[path = "endpoint_router_tests.rs"]
mod tests;
