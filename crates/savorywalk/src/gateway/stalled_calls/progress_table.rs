use crate::prelude::*;

/// Part of a stall for which another endpoint may have been silent itself and still replace the
/// stalled one. Endpoints that fall silent at the same moment are equally old in silence, but for
/// the time between two of their events.
const BETTER_FRACTION: u32 = 2;

/// Silence from which an endpoint gets no new requests while another one makes progress: longer
/// than most prompts hold up the events of other streams while they are read.
const AVOIDED_SILENCE: Duration = Duration::from_millis(500);

/// When each endpoint with calls in progress at this entry last sent something, as a state
/// machine without I/O.
///
/// It has a row for each endpoint with calls only, so it is bounded by the calls of this entry,
/// whatever the size of the deployment.
#[derive(Debug, Default)]
pub(in crate::gateway) struct ProgressTable {
    endpoints: FastMap<Arc<str>, EndpointProgress>,
}

#[derive(Clone, Copy, Debug)]
struct EndpointProgress {
    /// Calls in progress.
    calls: usize,
    /// When the oldest of the calls began.
    since: Instant,
    /// When the endpoint last sent something since then.
    heard: Option<Instant>,
}

impl EndpointProgress {
    fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.heard.unwrap_or(self.since))
    }
}

impl ProgressTable {
    /// Records that a call begins.
    pub(in crate::gateway) fn begin(&mut self, now: Instant, endpoint: &Arc<str>) {
        let progress = self.endpoints.entry(Arc::clone(endpoint));
        let progress = progress.or_insert(EndpointProgress {
            calls: 0,
            since: now,
            heard: None,
        });
        progress.calls += 1;
    }

    /// Records that a call has ended.
    pub(in crate::gateway) fn end(&mut self, endpoint: &str) {
        let Some(progress) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        progress.calls = progress.calls.saturating_sub(1);
        if progress.calls == 0 {
            self.endpoints.remove(endpoint);
        }
    }

    /// Records that an endpoint has sent something on one of its calls.
    pub(in crate::gateway) fn record_heard(&mut self, now: Instant, endpoint: &str) {
        if let Some(progress) = self.endpoints.get_mut(endpoint) {
            progress.heard = progress.heard.max(Some(now));
        }
    }

    /// For how long an endpoint has sent nothing on any of its calls; `None` without calls.
    pub(in crate::gateway) fn silence(&self, now: Instant, endpoint: &str) -> Option<Duration> {
        let progress = self.endpoints.get(endpoint)?;
        Some(progress.silence(now))
    }

    /// Whether an endpoint may replace one that has been silent for `stall`: it has no calls by
    /// which it could be judged, or is proven to be better off.
    pub(in crate::gateway) fn is_better(
        &self,
        now: Instant,
        endpoint: &str,
        stall: Duration,
    ) -> bool {
        !self.endpoints.contains_key(endpoint) || self.is_proven(now, endpoint, stall)
    }

    /// Whether an endpoint has sent something, much more recently than one that has been silent for
    /// `stall`.
    pub(in crate::gateway) fn is_proven(
        &self,
        now: Instant,
        endpoint: &str,
        stall: Duration,
    ) -> bool {
        let progress = self.endpoints.get(endpoint);
        let heard = progress.filter(|progress| progress.heard.is_some());
        heard.is_some_and(|progress| progress.silence(now) < stall / BETTER_FRACTION)
    }

    /// Whether new requests should go to other endpoints, if there are any.
    pub(in crate::gateway) fn is_avoided(&self, now: Instant, endpoint: &str) -> bool {
        let silence = self.silence(now, endpoint);
        silence.is_some_and(|silence| silence >= AVOIDED_SILENCE)
    }

    /// Number of endpoints that new requests avoid.
    pub(in crate::gateway) fn avoided_count(&self, now: Instant) -> usize {
        let is_silent = |progress: &&EndpointProgress| progress.silence(now) >= AVOIDED_SILENCE;
        self.endpoints.values().filter(is_silent).count()
    }
}

#[cfg(test)]
#[path = "progress_table_tests.rs"]
mod tests;
