use crate::prelude::*;

/// Part of a stall for which another endpoint may have been silent itself and still replace the
/// stalled one. Endpoints that fall silent at the same moment are equally old in silence, but for
/// the time between two of their events.
const BETTER_FRACTION: u32 = 2;

/// Silence on all of its calls from which an endpoint gets no new requests while another one makes
/// progress: longer than engines take to read the largest prompts.
const AVOIDED_SILENCE: Duration = Duration::from_millis(750);

/// Time for which an endpoint counts as silent after a stalled call to it was replaced, unless it sends
/// something.
const DOUBT_TIME: Duration = Duration::from_secs(2);

/// Time for which an endpoint that answered no probe replaces no other one, unless it sends
/// something. Shorter than the doubt after a stall, as it was asked once only.
const SILENT_PROBE_TIME: Duration = Duration::from_millis(500);

/// When each endpoint with calls in progress at this entry last sent something, as a state
/// machine without I/O.
///
/// It has a row for each endpoint with calls, and for each that was replaced lately, so it is bounded
/// by the calls of this entry, whatever the size of the deployment.
#[derive(Debug, Default)]
pub(in crate::gateway) struct ProgressTable {
    endpoints: FastMap<Arc<str>, EndpointProgress>,
    /// Number of stalled calls by endpoint.
    stalls: FastMap<String, usize>,
    /// Endpoints whose stalled calls were replaced, or that answered no probe.
    doubted: FastMap<String, EndpointDoubt>,
}

/// Why an endpoint counts as silent although it has no calls.
#[derive(Clone, Copy, Debug)]
struct EndpointDoubt {
    until: Instant,
    /// The failure of the endpoint that its silence counts as.
    failure: SilenceFailure,
}

/// Whether a silence counts as a failure of its endpoint. All calls that are replaced in one silence
/// are one failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SilenceFailure {
    /// No call was replaced.
    None,
    /// A call was replaced, and the failure is not reported yet.
    Unreported,
    Reported,
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
        self.doubted.remove(endpoint);
    }

    /// Records that a call to an endpoint has stalled.
    pub(in crate::gateway) fn begin_stall(&mut self, endpoint: &str) {
        *self.stalls.entry(endpoint.to_string()).or_default() += 1;
    }

    /// Records that the stall of a call has ended. If another endpoint took its place, `replaced_after`
    /// is the time for which the call was silent. Progress on other calls shows that the endpoint is
    /// sound.
    pub(in crate::gateway) fn end_stall(
        &mut self,
        now: Instant,
        endpoint: &str,
        replaced_after: Option<Duration>,
    ) {
        if let Some(count) = self.stalls.get_mut(endpoint) {
            *count -= 1;
            if *count == 0 {
                self.stalls.remove(endpoint);
            }
        }
        if replaced_after.is_some_and(|stall| !self.makes_progress(now, endpoint, stall)) {
            let doubt = self.doubt(now, endpoint, DOUBT_TIME);
            if doubt.failure == SilenceFailure::None {
                doubt.failure = SilenceFailure::Unreported;
            }
        }
    }

    /// Whether an endpoint has sent something in the later part of a stall, on another call.
    fn makes_progress(&self, now: Instant, endpoint: &str, stall: Duration) -> bool {
        let heard = self.endpoints.get(endpoint);
        let heard = heard.and_then(|progress| progress.heard);
        let limit = (stall / BETTER_FRACTION).min(AVOIDED_SILENCE);
        heard.is_some_and(|heard| now.saturating_duration_since(heard) < limit)
    }

    /// Whether the silence of an endpoint is to be reported as a failure now; true once a silence.
    pub(in crate::gateway) fn take_failure(&mut self, endpoint: &str) -> bool {
        let doubt = self.doubted.get_mut(endpoint);
        let doubt = doubt.filter(|doubt| doubt.failure == SilenceFailure::Unreported);
        let is_due = doubt.is_some();
        if let Some(doubt) = doubt {
            doubt.failure = SilenceFailure::Reported;
        }
        is_due
    }

    /// Records that an endpoint answered no probe.
    pub(in crate::gateway) fn record_silent_probe(&mut self, now: Instant, endpoint: &str) {
        self.doubt(now, endpoint, SILENT_PROBE_TIME);
    }

    fn doubt(&mut self, now: Instant, endpoint: &str, time: Duration) -> &mut EndpointDoubt {
        self.doubted.retain(|_, doubt| now < doubt.until);
        let until = now + time;
        let doubt = self.doubted.entry(endpoint.to_string());
        let doubt = doubt.or_insert(EndpointDoubt {
            until,
            failure: SilenceFailure::None,
        });
        doubt.until = until.max(doubt.until);
        doubt
    }

    fn is_doubted(&self, now: Instant, endpoint: &str) -> bool {
        let doubt = self.doubted.get(endpoint);
        doubt.is_some_and(|doubt| now < doubt.until)
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
        match self.endpoints.contains_key(endpoint) {
            true => self.is_proven(now, endpoint, stall),
            false => !self.is_doubted(now, endpoint),
        }
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
        let is_recent =
            |progress: &EndpointProgress| progress.silence(now) < stall / BETTER_FRACTION;
        heard.is_some_and(is_recent) && !self.is_doubted(now, endpoint)
    }

    /// Whether new requests should go to other endpoints, if there are any.
    pub(in crate::gateway) fn is_avoided(&self, now: Instant, endpoint: &str) -> bool {
        let silence = self.silence(now, endpoint);
        let is_silent = silence.is_some_and(|silence| silence >= AVOIDED_SILENCE);
        is_silent || self.is_doubted(now, endpoint)
    }

    /// Number of endpoints with stalled calls.
    pub(in crate::gateway) fn stalled_count(&self) -> usize {
        self.stalls.len()
    }
}

#[cfg(test)]
#[path = "progress_table_tests.rs"]
mod tests;
