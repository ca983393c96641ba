use std::sync::{Mutex, MutexGuard, PoisonError};

use super::BackoffRequest;
use crate::prelude::*;
use crate::registry::BootTime;

/// Upper bound on a back-off. Limits the effect of an erroneous value; an endpoint can renew its
/// request.
const MAX_BACKOFF: Duration = Duration::from_secs(3_600);

/// Back-off after a refusal whose duration can't be parsed.
const DEFAULT_BACKOFF: Duration = Duration::from_secs(1);

/// Minimum time that a leaving endpoint is kept. Its process has exited by then.
const LEAVING_RETENTION: Duration = Duration::from_secs(600);

/// Endpoints that this entry must not send requests to, by incarnation: those that have
/// requested a back-off and those that have announced that they are leaving.
///
/// Unlike a rate limit, a back-off applies only to the entry that was refused, so it is not
/// shared with other entries. See docs/design/endpoint-backoff.md.
#[derive(Debug, Default)]
pub(super) struct EndpointAvailability {
    /// End of the back-off of each endpoint.
    backoffs: Mutex<FastMap<String, BootTime>>,
    /// Time of the last announcement of each leaving endpoint.
    leaving: Mutex<FastMap<String, BootTime>>,
}

impl EndpointAvailability {
    /// Applies the back-off that a response requests. Returns the new end if it is later than
    /// the previous one; a request never ends a back-off early.
    pub(super) fn back_off(
        &self,
        now: BootTime,
        endpoint: &str,
        request: BackoffRequest,
    ) -> Option<BootTime> {
        let duration = match request {
            BackoffRequest::Absent => return None,
            BackoffRequest::For(duration) => duration.min(MAX_BACKOFF),
            BackoffRequest::Unreadable => DEFAULT_BACKOFF,
        };
        let until = now.plus(duration);
        let mut backoffs = self.backoffs();
        if backoffs
            .get(endpoint)
            .is_some_and(|current| *current >= until)
        {
            return None;
        }
        backoffs.retain(|_, until| now < *until);
        backoffs.insert(endpoint.to_string(), until);
        Some(until)
    }

    /// Marks an endpoint as leaving, so that it gets no more requests. Returns whether it was
    /// not marked before.
    pub(super) fn mark_leaving(&self, now: BootTime, endpoint: &str) -> bool {
        let mut leaving = self.leaving();
        leaving.retain(|_, announced| now.since(*announced) < LEAVING_RETENTION);
        leaving.insert(endpoint.to_string(), now).is_none()
    }

    /// Whether an endpoint has announced in a response that it is leaving.
    pub(super) fn is_leaving(&self, endpoint: &str) -> bool {
        self.leaving().contains_key(endpoint)
    }

    /// Time until a request may be sent to an endpoint.
    pub(super) fn time_until_available(&self, now: BootTime, endpoint: &str) -> Duration {
        let backoffs = self.backoffs();
        let until = backoffs.get(endpoint);
        until.map_or(Duration::ZERO, |until| until.since(now))
    }

    /// Whether a request may be sent to an endpoint.
    pub(super) fn is_available(&self, now: BootTime, endpoint: &str) -> bool {
        !self.is_leaving(endpoint) && self.time_until_available(now, endpoint).is_zero()
    }

    /// Number of endpoints whose back-off has not ended.
    pub(super) fn count_backoffs(&self, now: BootTime) -> usize {
        let backoffs = self.backoffs();
        backoffs.values().filter(|until| now < **until).count()
    }

    fn leaving(&self) -> MutexGuard<'_, FastMap<String, BootTime>> {
        self.leaving.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn backoffs(&self) -> MutexGuard<'_, FastMap<String, BootTime>> {
        self.backoffs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
#[path = "endpoint_availability_tests.rs"]
mod tests;
