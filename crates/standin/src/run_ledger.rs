use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, PoisonError};

/// Requests that are remembered; older ones are forgotten.
const MAX_REQUESTS: usize = 65_536;

/// How often each request ran, so that a test can ask whether any ran twice.
#[derive(Debug, Default)]
pub struct RunLedger {
    runs: Mutex<RunTable>,
}

#[derive(Debug, Default)]
struct RunTable {
    counts: HashMap<String, u64>,
    order: VecDeque<String>,
}

impl RunLedger {
    /// Times that work ran under `name`: an `Idempotency-Key`, or a request and
    /// stage as in the attempt header without the attempt (`request/stage`).
    pub fn runs(&self, name: &str) -> u64 {
        let table = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        table.counts.get(name).copied().unwrap_or_default()
    }

    /// Names under which work ran more than once.
    pub fn repeated(&self) -> Vec<String> {
        let table = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        let repeated = table.counts.iter().filter(|(_, count)| **count > 1);
        repeated.map(|(name, _)| name.clone()).collect()
    }

    /// Counts one run.
    pub(crate) fn record(&self, key: Option<&str>, attempt: Option<&str>) {
        let request = attempt.and_then(|attempt| attempt.rsplit_once('/'));
        let mut table = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        for name in [key, request.map(|(request, _)| request)]
            .into_iter()
            .flatten()
        {
            table.record(name);
        }
    }
}

impl RunTable {
    fn record(&mut self, name: &str) {
        if let Some(count) = self.counts.get_mut(name) {
            *count += 1;
            return;
        }
        if self.order.len() == MAX_REQUESTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.counts.remove(&oldest);
        }
        self.counts.insert(name.to_string(), 1);
        self.order.push_back(name.to_string());
    }
}
