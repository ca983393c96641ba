use crate::prelude::*;

/// Validity of a permit. Covers the reply that carries it and opening the connection for the
/// request.
pub(super) const PERMIT_VALIDITY: Duration = Duration::from_millis(250);

/// Number of entries that may issue permits for one endpoint at the same time while a change
/// of the coordinator propagates.
const MAX_COORDINATORS: f64 = 2.0;

/// Window over which requests to a cold endpoint are counted.
const COUNT_WINDOW: Duration = Duration::from_secs(1);

/// How long the last permit of an endpoint is kept; at least the longest interval between
/// two permits.
const RETENTION: Duration = Duration::from_secs(60);

/// The limit of a pool's cold endpoints for requests from all entries combined.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ColdLimit {
    /// Requests per second that an endpoint sustains.
    pub(super) per_second: f64,
    /// Maximum number of requests in any one second.
    pub(super) max_in_one_second: f64,
}

impl ColdLimit {
    /// The interval between two permits for one endpoint that keeps the limit however late
    /// permits are used; `None` if no interval does.
    ///
    /// Permits issued within `COUNT_WINDOW + PERMIT_VALIDITY` may all be used within one window,
    /// plus one at its boundary.
    pub(super) fn interval(&self) -> Option<Duration> {
        let own = self.max_in_one_second / MAX_COORDINATORS;
        let safe = (own - 1.0) / (COUNT_WINDOW + PERMIT_VALIDITY).as_secs_f64();
        let rate = safe.min(self.per_second);
        (rate > 0.0).then(|| Duration::from_secs_f64(1.0 / rate))
    }
}

/// The decision on a permit request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PermitDecision {
    /// One request may be sent after `wait`.
    Granted { wait: Duration },
    /// No permit becomes available within the requested time. The next one is available
    /// after `retry_after`; `None` if unknown.
    Refused { retry_after: Option<Duration> },
}

/// Permits to send requests to limited endpoints, issued by one entry for all entries.
///
/// Entries do not know what others send, so no entry can enforce a limit on the total alone.
/// They request permits from the coordinator, which spaces them evenly. See
/// docs/design/rate-limits.md.
#[derive(Debug, Default)]
pub(super) struct SendPermits {
    /// Start of validity of the last permit issued, by endpoint.
    last_permits: FastMap<String, Instant>,
}

impl SendPermits {
    /// Whether a permit for the endpoint is available now.
    pub(super) fn is_free(&self, now: Instant, endpoint: &str, interval: Duration) -> bool {
        self.wait_time(now, endpoint, interval).is_zero()
    }

    /// Issues a permit if one is available now, `interval` after the previous one.
    pub(super) fn try_issue(&mut self, now: Instant, endpoint: &str, interval: Duration) -> bool {
        let decision = self.reserve(now, endpoint, interval, Duration::ZERO);
        matches!(decision, PermitDecision::Granted { .. })
    }

    /// Issues the next permit, `interval` after the previous one, if it becomes available within
    /// `max_wait`.
    pub(super) fn reserve(
        &mut self,
        now: Instant,
        endpoint: &str,
        interval: Duration,
        max_wait: Duration,
    ) -> PermitDecision {
        let wait = self.wait_time(now, endpoint, interval);
        if wait > max_wait {
            return PermitDecision::Refused {
                retry_after: Some(wait),
            };
        }
        self.last_permits.retain(|_, last| now < *last + RETENTION);
        self.last_permits.insert(endpoint.to_string(), now + wait);
        PermitDecision::Granted { wait }
    }

    /// Time until the next permit for the endpoint is available.
    fn wait_time(&self, now: Instant, endpoint: &str, interval: Duration) -> Duration {
        let last = self.last_permits.get(endpoint);
        last.map_or(Duration::ZERO, |last| {
            (*last + interval).saturating_duration_since(now)
        })
    }
}

#[cfg(test)]
#[path = "send_permits_tests.rs"]
mod tests;
