use crate::prelude::*;

/// Time for which a permit is good: the answer that brings it, and the connection on which
/// the request is sent.
pub(super) const PERMIT_LIFE: Duration = Duration::from_millis(250);

/// Entries that may give permits for one endpoint at the same time, while they learn at
/// different moments that the coordinator has changed.
const COORDINATORS: f64 = 2.0;

/// Span in which requests at a cold endpoint are counted.
const SPAN: Duration = Duration::from_secs(1);

/// What a cold endpoint of a pool bears, from all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ColdLimit {
    /// Requests a second that it serves without harm.
    pub(super) per_second: f64,
    /// Most requests in any second.
    pub(super) most: f64,
}

impl ColdLimit {
    /// The pause between two permits for one endpoint with which the limit holds whatever
    /// becomes of the permits; `None` when no pause is long enough.
    ///
    /// Permits of a span and of the time for which they are good may be used within one
    /// span, and one more at its edge.
    pub(super) fn pause(&self) -> Option<Duration> {
        let own = self.most / COORDINATORS;
        let safe = (own - 1.0) / (SPAN + PERMIT_LIFE).as_secs_f64();
        let rate = safe.min(self.per_second);
        (rate > 0.0).then(|| Duration::from_secs_f64(1.0 / rate))
    }
}

/// Permits to send requests to cold endpoints, given by one entry for all.
///
/// Entries do not know what others send, and a cold endpoint ends under more requests
/// than it bears. So they ask the coordinator of its shard, which spaces the permits for
/// an endpoint evenly. See docs/design/cold-endpoints.md.
#[derive(Debug, Default)]
pub(super) struct ColdPermits {
    /// When the next permit may be given, by endpoint.
    next: FastMap<String, Instant>,
}

impl ColdPermits {
    /// Whether a permit for the endpoint may be given now.
    pub(super) fn is_free(&self, now: Instant, endpoint: &str) -> bool {
        let next = self.next.get(endpoint);
        next.is_none_or(|next| now >= *next)
    }

    /// Gives a permit, if there is one now; the next one comes after `pause`.
    pub(super) fn take(&mut self, now: Instant, endpoint: &str, pause: Duration) -> bool {
        let is_free = self.is_free(now, endpoint);
        if is_free {
            self.next.retain(|_, next| now < *next);
            self.next.insert(endpoint.to_string(), now + pause);
        }
        is_free
    }
}

#[cfg(test)]
#[path = "cold_permits_tests.rs"]
mod tests;
