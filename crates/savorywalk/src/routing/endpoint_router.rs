use std::sync::atomic::{AtomicUsize, Ordering};

use rand::RngExt;

use super::{OutstandingTable, RoutingPolicy};
use crate::directory::{DirectorySnapshot, EndpointRecord};
use crate::prelude::*;

/// Cost of crossing into another data centre, in units of one waiting request.
const DISTANCE_COST: f64 = 0.5;

/// What an attempt needs of its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// Pool that serves the stage.
    pub pool: &'a str,
    /// Model that it needs; empty for none.
    pub model: &'a str,
    /// Endpoints that failed this stage already.
    pub excluded: &'a [String],
}

/// Picks endpoints by one policy.
#[derive(Debug)]
pub struct EndpointRouter {
    policy: RoutingPolicy,
    data_center: String,
    turn: AtomicUsize,
    /// Attempts in progress from this process.
    pub outstanding: OutstandingTable,
}

impl EndpointRouter {
    /// A router of a daemon in `data_center`.
    pub fn new(policy: RoutingPolicy, data_center: &str) -> Self {
        Self {
            policy,
            data_center: data_center.to_string(),
            turn: AtomicUsize::new(0),
            outstanding: OutstandingTable::default(),
        }
    }

    /// The endpoint for an attempt, or `None` when nobody serves it.
    pub fn pick(
        &self,
        now: Instant,
        directory: &DirectorySnapshot,
        query: RouteQuery<'_>,
    ) -> Option<Arc<EndpointRecord>> {
        let pool = directory.pool(query.pool);
        let serving: Vec<&Arc<EndpointRecord>> = pool
            .iter()
            .filter(|record| record.takes_work(now) && record.has_model(query.model))
            .collect();
        let fresh: Vec<&Arc<EndpointRecord>> = serving
            .iter()
            .copied()
            .filter(|record| !query.excluded.contains(&record.announcement.endpoint))
            .collect();
        let candidates = if fresh.is_empty() { serving } else { fresh };
        if candidates.is_empty() {
            return None;
        }
        let picked = match self.policy {
            RoutingPolicy::RoundRobin => self.in_turn(&candidates),
            RoutingPolicy::LeastOutstanding => self.least_outstanding(&candidates),
            RoutingPolicy::Adaptive => self.best_of_two(&candidates),
        };
        Some(Arc::clone(picked))
    }

    fn in_turn<'a>(&self, candidates: &[&'a Arc<EndpointRecord>]) -> &'a Arc<EndpointRecord> {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        candidates[turn % candidates.len()]
    }

    fn least_outstanding<'a>(
        &self,
        candidates: &[&'a Arc<EndpointRecord>],
    ) -> &'a Arc<EndpointRecord> {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let rotated =
            (0..candidates.len()).map(|index| candidates[(index + turn) % candidates.len()]);
        rotated
            .min_by_key(|record| self.outstanding.count(&record.announcement.endpoint))
            .unwrap_or(candidates[0])
    }

    fn best_of_two<'a>(&self, candidates: &[&'a Arc<EndpointRecord>]) -> &'a Arc<EndpointRecord> {
        if candidates.len() == 1 {
            return candidates[0];
        }
        let mut random = rand::rng();
        let first = random.random_range(0..candidates.len());
        let mut second = random.random_range(0..candidates.len() - 1);
        if second >= first {
            second += 1;
        }
        let (first, second) = (candidates[first], candidates[second]);
        if self.cost(second) < self.cost(first) {
            second
        } else {
            first
        }
    }

    fn cost(&self, record: &EndpointRecord) -> f64 {
        let announcement = &record.announcement;
        let own = f64::from(self.outstanding.count(&announcement.endpoint));
        let reported = f64::from(announcement.load.running + announcement.load.queued);
        let distance = if announcement.data_center == self.data_center {
            0.0
        } else {
            DISTANCE_COST
        };
        (own.max(reported) + 1.0) / f64::from(announcement.slots.max(1)) + distance
    }
}
