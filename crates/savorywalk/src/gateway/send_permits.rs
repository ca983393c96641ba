use crate::prelude::*;

/// Validity of a permit. Covers the reply that carries it and opening the connection for the
/// request.
pub(super) const PERMIT_LIFE: Duration = Duration::from_millis(250);

/// Entries that may issue permits for one endpoint at the same time while a change of the
/// coordinator propagates.
const COORDINATORS: f64 = 2.0;

/// Window over which requests to a cold endpoint are counted.
const SPAN: Duration = Duration::from_secs(1);

/// How long the last permit of an endpoint is kept; at least the longest interval between
/// two permits.
const RETENTION: Duration = Duration::from_secs(60);

/// The limit of a pool's cold endpoints for requests from all entries combined.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ColdLimit {
    /// Requests per second that an endpoint sustains.
    pub(super) per_second: f64,
    /// Most requests in any one second.
    pub(super) most: f64,
}

impl ColdLimit {
    /// The interval between two permits for one endpoint that guarantees the limit however
    /// late permits are used; `None` if no interval does.
    ///
    /// Permits issued within `SPAN + PERMIT_LIFE` may all be used within one span, plus one
    /// at its boundary.
    pub(super) fn pause(&self) -> Option<Duration> {
        let own = self.most / COORDINATORS;
        let safe = (own - 1.0) / (SPAN + PERMIT_LIFE).as_secs_f64();
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
/// Entries do not know what others send, so none of them can enforce a limit on the total
/// alone. They request permits from the coordinator, which spaces them evenly. See
/// docs/design/rate-limits.md.
#[derive(Debug, Default)]
pub(super) struct SendPermits {
    /// Start of validity of the last permit issued, by endpoint.
    last_permits: FastMap<String, Instant>,
}

impl SendPermits {
    /// Whether a permit for the endpoint is available now.
    pub(super) fn is_free(&self, now: Instant, endpoint: &str, pause: Duration) -> bool {
        self.wait_time(now, endpoint, pause).is_zero()
    }

    /// Issues a permit if one is available now, `pause` after the previous one.
    pub(super) fn take(&mut self, now: Instant, endpoint: &str, pause: Duration) -> bool {
        let decision = self.reserve(now, endpoint, pause, Duration::ZERO);
        matches!(decision, PermitDecision::Granted { .. })
    }

    /// Issues the next permit, `pause` after the previous one, if it becomes available within
    /// `max_wait`.
    pub(super) fn reserve(
        &mut self,
        now: Instant,
        endpoint: &str,
        pause: Duration,
        max_wait: Duration,
    ) -> PermitDecision {
        let wait = self.wait_time(now, endpoint, pause);
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
    fn wait_time(&self, now: Instant, endpoint: &str, pause: Duration) -> Duration {
        let last = self.last_permits.get(endpoint);
        last.map_or(Duration::ZERO, |last| {
            (*last + pause).saturating_duration_since(now)
        })
    }
}

#[cfg(test)]
#[path = "send_permits_tests.rs"]
mod tests;
