use super::ResultHandle;
use crate::prelude::*;

/// Part of an endpoint's capacity that is used, in thousandths. The rest is a margin, since the
/// sizes of results are approximate.
const USABLE_PERMILLE: u64 = 960;

/// Capacity for results at the endpoints of one pool, as known to the entry that dispatches the
/// pieces of the pool: it records every result that is made and every one that is released.
///
/// A piece whose result does not fit wastes its part of a call, so the piece should wait in the
/// queue until there is capacity.
#[derive(Debug, Default)]
pub struct ResultCapacity {
    stored: FastMap<ResultHandle, StoredResult>,
    used: FastMap<Arc<str>, u64>,
    /// Results in the order in which they expire.
    expiry_order: VecDeque<(Instant, ResultHandle)>,
}

#[derive(Clone, Debug)]
struct StoredResult {
    endpoint: Arc<str>,
    bytes: u64,
}

impl ResultCapacity {
    /// Returns the free bytes at `endpoint`, out of `capacity_bytes` in total.
    pub fn free(&self, endpoint: &str, capacity_bytes: u64) -> u64 {
        let used = self.used.get(endpoint).copied().unwrap_or(0);
        (capacity_bytes / 1_000 * USABLE_PERMILLE).saturating_sub(used)
    }

    /// Reserves capacity for the results of a call to `endpoint`.
    pub fn reserve(&mut self, endpoint: &Arc<str>, bytes: u64) {
        *self.used.entry(Arc::clone(endpoint)).or_default() += bytes;
    }

    /// Ends the reservation of a call.
    pub fn unreserve(&mut self, endpoint: &str, bytes: u64) {
        if let Some(used) = self.used.get_mut(endpoint) {
            *used = used.saturating_sub(bytes);
        }
    }

    /// Records a result that is stored until it is released, and until `expires` at the latest.
    pub fn record_result(
        &mut self,
        expires: Instant,
        endpoint: &Arc<str>,
        handle: ResultHandle,
        bytes: u64,
    ) {
        self.reserve(endpoint, bytes);
        self.expiry_order.push_back((expires, handle.clone()));
        let result = StoredResult {
            endpoint: Arc::clone(endpoint),
            bytes,
        };
        self.stored.insert(handle, result);
    }

    /// Records that a result is released.
    pub fn release(&mut self, handle: &ResultHandle) {
        if let Some(result) = self.stored.remove(handle) {
            self.unreserve(&result.endpoint, result.bytes);
        }
    }

    /// Removes the results that have expired at their endpoints by now.
    pub fn expire(&mut self, now: Instant) {
        while let Some((expires, _)) = self.expiry_order.front() {
            if *expires > now {
                break;
            }
            if let Some((_, handle)) = self.expiry_order.pop_front() {
                self.release(&handle);
            }
        }
    }

    /// Returns when the next result expires.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.expiry_order.front().map(|(expires, _)| *expires)
    }

    /// Removes the endpoints for which `is_present` returns false, with their results.
    pub fn retain_endpoints(&mut self, is_present: impl Fn(&str) -> bool) {
        self.used.retain(|endpoint, _| is_present(endpoint));
        self.stored.retain(|_, result| is_present(&result.endpoint));
    }
}

#[cfg(test)]
#[path = "result_capacity_tests.rs"]
mod tests;
