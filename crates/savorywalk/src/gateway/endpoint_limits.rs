use std::sync::{Mutex, MutexGuard, PoisonError};

use super::AdvertisedRate;
use crate::prelude::*;
use crate::registry::BootTime;

/// How long a limit is kept without confirmation. Bounds the memory used for endpoints
/// that no longer exist.
const RETENTION: Duration = Duration::from_secs(600);

/// Relative change of a rate above which other entries are notified.
const SIGNIFICANT_CHANGE: f64 = 0.1;

/// The request rates that endpoints advertise in their responses, by incarnation.
///
/// Responses may arrive out of order, and limits are also learned from other entries. The
/// most recent value therefore wins, and a response without a limit removes a known one
/// only if its request was sent after that limit was advertised. See docs/design/rate-limits.md.
#[derive(Debug, Default)]
pub(super) struct EndpointLimits {
    known: Mutex<FastMap<String, KnownLimit>>,
}

/// The last known limit of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct KnownLimit {
    /// Requests per second from all entries combined; `None` once the limit was removed.
    pub(super) per_second: Option<f64>,
    /// When the endpoint advertised or removed it.
    pub(super) at: BootTime,
}

impl KnownLimit {
    /// Whether other entries need to be notified of a change to `newer`.
    fn differs_significantly(&self, newer: Option<f64>) -> bool {
        match (self.per_second, newer) {
            (None, None) => false,
            (Some(old), Some(new)) => (new - old).abs() > old * SIGNIFICANT_CHANGE,
            (Some(_), None) | (None, Some(_)) => true,
        }
    }
}

impl EndpointLimits {
    /// Applies the rate advertised in the response to a request that was sent at `sent`.
    /// Returns whether this is a significant change.
    pub(super) fn observe(
        &self,
        now: BootTime,
        sent: BootTime,
        endpoint: &str,
        advertised: AdvertisedRate,
    ) -> bool {
        match advertised {
            AdvertisedRate::PerSecond(rate) => self.store(endpoint, Some(rate), now),
            AdvertisedRate::Absent if self.is_limited_since(endpoint, sent) => {
                self.store(endpoint, None, now)
            }
            AdvertisedRate::Absent | AdvertisedRate::Invalid => false,
        }
    }

    /// Applies a limit that another entry learned `age` ago, unless a more recent one is
    /// known. Returns whether this is a significant change.
    pub(super) fn adopt(
        &self,
        now: BootTime,
        endpoint: &str,
        per_second: Option<f64>,
        age: Duration,
    ) -> bool {
        let at = now.minus(age);
        let known = self.get(endpoint);
        if known.is_some_and(|known| known.at >= at) {
            return false;
        }
        self.store(endpoint, per_second, at)
    }

    /// The last known limit of an endpoint; `None` if it never advertised one.
    pub(super) fn get(&self, endpoint: &str) -> Option<KnownLimit> {
        self.known().get(endpoint).copied()
    }

    /// The current limit of an endpoint in requests per second; `None` without a limit.
    pub(super) fn rate(&self, endpoint: &str) -> Option<f64> {
        self.get(endpoint)?.per_second
    }

    /// Number of endpoints that currently have a limit.
    pub(super) fn count(&self) -> usize {
        let known = self.known();
        let limited = known.values().filter(|known| known.per_second.is_some());
        limited.count()
    }

    /// Whether an endpoint has a limit that was advertised no later than `sent`.
    fn is_limited_since(&self, endpoint: &str, sent: BootTime) -> bool {
        let known = self.get(endpoint);
        known.is_some_and(|known| known.per_second.is_some() && known.at <= sent)
    }

    fn store(&self, endpoint: &str, per_second: Option<f64>, at: BootTime) -> bool {
        let mut known = self.known();
        let newer = KnownLimit { per_second, at };
        if let Some(old) = known.get_mut(endpoint) {
            let is_significant = old.differs_significantly(per_second);
            *old = newer;
            return is_significant;
        }
        known.retain(|_, known| at.since(known.at) < RETENTION);
        known.insert(endpoint.to_string(), newer);
        per_second.is_some()
    }

    fn known(&self) -> MutexGuard<'_, FastMap<String, KnownLimit>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
#[path = "endpoint_limits_tests.rs"]
mod tests;
