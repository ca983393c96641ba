use std::sync::{Mutex, MutexGuard, PoisonError};

use savorywalk::prelude::*;

/// Requests that callers send, and requests and pieces that reach endpoints, by pool.
#[derive(Debug)]
pub struct ArrivalLog {
    epoch: Instant,
    pools: Mutex<BTreeMap<&'static str, PoolLog>>,
}

#[derive(Debug, Default)]
struct PoolLog {
    arrived: BTreeMap<String, usize>,
    times: PoolArrivals,
}

/// Times of a pool, in order, since the start of the log.
#[derive(Clone, Debug, Default)]
pub struct PoolArrivals {
    /// When callers sent requests, or the pieces of stages that requests have.
    pub requests: Vec<Duration>,
    /// When requests or pieces arrived that had arrived before.
    pub repeats: Vec<Duration>,
}

impl Default for ArrivalLog {
    fn default() -> Self {
        Self {
            epoch: Instant::now(),
            pools: Mutex::default(),
        }
    }
}

impl ArrivalLog {
    /// Records that a caller sends a request that needs `units` of a pool: itself, or its pieces.
    pub fn record_request(&self, pool: &'static str, units: usize) {
        let mut pools = self.pools();
        let at = self.epoch.elapsed();
        let requests = &mut pools.entry(pool).or_default().times.requests;
        requests.extend(std::iter::repeat_n(at, units));
    }

    /// Records the arrival of a request or piece at an endpoint of a pool.
    pub fn record_arrival(&self, pool: &'static str, unit: &str) {
        let mut pools = self.pools();
        let at = self.epoch.elapsed();
        let pool = pools.entry(pool).or_default();
        let arrivals = pool.arrived.entry(unit.to_string()).or_default();
        *arrivals += 1;
        if *arrivals > 1 {
            pool.times.repeats.push(at);
        }
    }

    /// Number of requests or pieces that have reached a pool, each counted once.
    pub fn first_arrivals(&self, pool: &'static str) -> usize {
        self.pools().get(pool).map_or(0, |pool| pool.arrived.len())
    }

    /// The times of each pool.
    pub fn by_pool(&self) -> BTreeMap<&'static str, PoolArrivals> {
        let pools = self.pools();
        let times = pools.iter().map(|(pool, log)| (*pool, log.times.clone()));
        times.collect()
    }

    fn pools(&self) -> MutexGuard<'_, BTreeMap<&'static str, PoolLog>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
