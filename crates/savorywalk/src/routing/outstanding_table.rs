use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicU32, Ordering};

use crate::prelude::*;

/// Number of endpoints beyond which those without an attempt in progress are
/// removed; the largest pool has about 1,100.
const MAX_ENDPOINTS: usize = 4_096;

/// Number of attempts that this process has in progress at each endpoint.
#[derive(Debug, Default)]
pub struct OutstandingTable {
    counts: Mutex<FastMap<String, Arc<AtomicU32>>>,
}

/// Counts one attempt in progress until it is dropped.
#[derive(Debug)]
pub struct OutstandingGuard {
    count: Arc<AtomicU32>,
}

impl Drop for OutstandingGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}

impl OutstandingTable {
    /// Number of attempts in progress at `endpoint`.
    pub fn count(&self, endpoint: &str) -> u32 {
        let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts
            .get(endpoint)
            .map_or(0, |count| count.load(Ordering::Relaxed))
    }

    /// Counts one more attempt at `endpoint`, until the guard is dropped.
    pub fn begin_attempt(&self, endpoint: &str) -> OutstandingGuard {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let count = match counts.get(endpoint) {
            Some(count) => Arc::clone(count),
            None => {
                if counts.len() >= MAX_ENDPOINTS {
                    counts.retain(|_, count| count.load(Ordering::Relaxed) > 0);
                }
                Arc::clone(counts.entry(endpoint.to_string()).or_default())
            }
        };
        count.fetch_add(1, Ordering::Relaxed);
        OutstandingGuard { count }
    }
}
