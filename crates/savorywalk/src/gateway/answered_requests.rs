use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::prelude::*;
use crate::quarantine::RequestDigest;

/// How long an answer proves that its request does not crash endpoints. After that, the
/// endpoints may run another program or hold other data.
const ANSWER_VALIDITY: Duration = Duration::from_secs(30);

/// Maximum number of requests remembered: those of [`ANSWER_VALIDITY`] at an entry with 130
/// requests per second.
const MAX_REMEMBERED: usize = 4_096;

/// Requests that endpoints answered recently without crashing. A request that many callers
/// send byte for byte alike is in progress during many crashes that it does not cause.
#[derive(Debug, Default)]
pub(super) struct AnsweredRequests {
    state: Mutex<AnsweredState>,
}

#[derive(Debug, Default)]
struct AnsweredState {
    last_answered: FastMap<RequestDigest, Instant>,
    order: VecDeque<(Instant, RequestDigest)>,
}

impl AnsweredRequests {
    /// Records that an endpoint answered a request.
    pub(super) fn record(&self, now: Instant, digest: RequestDigest) {
        let mut state = self.state();
        state.expire(now);
        state.last_answered.insert(digest, now);
        state.order.push_back((now, digest));
    }

    /// Whether a request was answered within the last [`ANSWER_VALIDITY`].
    pub(super) fn was_answered(&self, now: Instant, digest: &RequestDigest) -> bool {
        let mut state = self.state();
        state.expire(now);
        state.last_answered.contains_key(digest)
    }

    fn state(&self) -> MutexGuard<'_, AnsweredState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AnsweredState {
    fn expire(&mut self, now: Instant) {
        while let Some((at, digest)) = self.order.front().copied() {
            let is_old = now.saturating_duration_since(at) >= ANSWER_VALIDITY;
            if !is_old && self.order.len() < MAX_REMEMBERED {
                return;
            }
            self.order.pop_front();
            if self.last_answered.get(&digest) == Some(&at) {
                self.last_answered.remove(&digest);
            }
        }
    }
}

#[cfg(test)]
#[path = "answered_requests_tests.rs"]
mod tests;
