use std::sync::{Mutex, MutexGuard, PoisonError};

use super::BackoffRequest;
use crate::prelude::*;
use crate::registry::BootTime;

/// Upper bound on a back-off. Limits the effect of an erroneous value; an endpoint can renew its
/// request.
const MAX_BACKOFF: Duration = Duration::from_secs(3_600);

/// Back-off after a refusal whose duration can't be parsed.
const DEFAULT_BACKOFF: Duration = Duration::from_secs(1);

/// Back-offs that endpoints have requested from this entry, by incarnation.
///
/// Unlike a rate limit, a back-off applies only to the entry that was refused, so it is not
/// shared with other entries. See docs/design/endpoint-backoff.md.
#[derive(Debug, Default)]
pub(super) struct EndpointAvailability {
    /// End of the back-off of each endpoint.
    backoffs: Mutex<FastMap<String, BootTime>>,
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

    /// Time until a request may be sent to an endpoint.
    pub(super) fn time_until_available(&self, now: BootTime, endpoint: &str) -> Duration {
        let backoffs = self.backoffs();
        let until = backoffs.get(endpoint);
        until.map_or(Duration::ZERO, |until| until.since(now))
    }

    /// Whether a request may be sent to an endpoint.
    pub(super) fn is_available(&self, now: BootTime, endpoint: &str) -> bool {
        self.time_until_available(now, endpoint).is_zero()
    }

    /// Number of endpoints whose back-off has not ended.
    pub(super) fn count_backoffs(&self, now: BootTime) -> usize {
        let backoffs = self.backoffs();
        backoffs.values().filter(|until| now < **until).count()
    }

    fn backoffs(&self) -> MutexGuard<'_, FastMap<String, BootTime>> {
        self.backoffs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
#[path = "endpoint_availability_tests.rs"]
mod tests;
