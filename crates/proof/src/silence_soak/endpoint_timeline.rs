use std::fmt::Write;
use std::sync::Mutex;

use savorywalk::prelude::*;

use super::endpoint_switch::Silence;

/// One run of a request at an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunSpan {
    pub(super) endpoint: usize,
    pub(super) began: Instant,
    /// When it sent its last event so far.
    pub(super) sent: Option<Instant>,
    /// When it sent everything, or saw that its connection was closed.
    pub(super) ended: Option<Instant>,
}

/// What endpoints did in a run: which requests they worked on, and when they were silent.
#[derive(Debug, Default)]
pub(super) struct EndpointTimeline {
    runs: Mutex<FastMap<String, Vec<RunSpan>>>,
    silences: Mutex<Vec<(usize, Silence)>>,
}

/// Records the end of a run when it is dropped.
pub(super) struct RunGuard<'a> {
    timeline: &'a EndpointTimeline,
    id: String,
    index: usize,
}

impl EndpointTimeline {
    /// Records that an endpoint begins to work on a request.
    pub(super) fn begin(&self, id: &str, endpoint: usize) -> RunGuard<'_> {
        self.begin_at(id, endpoint, Instant::now())
    }

    /// Records that an endpoint began to work on a request at `began`.
    pub(super) fn begin_at(&self, id: &str, endpoint: usize, began: Instant) -> RunGuard<'_> {
        let mut index = 0;
        if let Ok(mut runs) = self.runs.lock() {
            let spans = runs.entry(id.to_string()).or_default();
            index = spans.len();
            spans.push(RunSpan {
                endpoint,
                began,
                sent: None,
                ended: None,
            });
        }
        RunGuard {
            timeline: self,
            id: id.to_string(),
            index,
        }
    }

    pub(super) fn record_silence(&self, endpoint: usize, silence: Silence) {
        if let Ok(mut silences) = self.silences.lock() {
            silences.push((endpoint, silence));
        }
    }

    /// Records that all silences of an endpoint are over.
    pub(super) fn record_speech(&self, endpoint: usize, now: Instant) {
        let Ok(mut silences) = self.silences.lock() else {
            return;
        };
        for (_, silence) in silences.iter_mut().filter(|(index, _)| *index == endpoint) {
            silence.ends = Some(silence.ends.map_or(now, |ends| ends.min(now)));
        }
    }

    /// Runs of a request, in the order of their beginnings.
    pub(super) fn runs(&self, id: &str) -> Vec<RunSpan> {
        let runs = self.runs.lock().ok();
        let spans = runs.and_then(|runs| runs.get(id).cloned());
        spans.unwrap_or_default()
    }

    /// Whether an endpoint works on a request.
    pub(super) fn has_runs(&self, endpoint: usize) -> bool {
        let Ok(runs) = self.runs.lock() else {
            return false;
        };
        let mut spans = runs.values().flatten();
        spans.any(|span| span.endpoint == endpoint && span.ended.is_none())
    }

    /// Longest time for which two endpoints worked on the same request at once.
    pub(super) fn longest_overlap(&self, id: &str) -> Duration {
        let spans = self.runs(id);
        let overlaps = spans.windows(2).map(|pair| {
            let ends = pair
                .iter()
                .map(|span| span.ended.unwrap_or_else(Instant::now));
            let end = ends.min().unwrap_or(pair[1].began);
            end.saturating_duration_since(pair[1].began)
        });
        overlaps.max().unwrap_or_default()
    }

    /// Runs of a request and the silences of their endpoints until `to`, in milliseconds after `from`.
    pub(super) fn trace(&self, id: &str, from: Instant, to: Instant) -> String {
        let after = |at: Instant| at.saturating_duration_since(from).as_millis();
        let after_some = |at: Option<Instant>| at.map(after);
        let mut trace = String::new();
        for span in self.runs(id) {
            let (began, sent) = (after(span.began), after_some(span.sent));
            let ended = after_some(span.ended);
            let endpoint = span.endpoint;
            let _ = write!(
                trace,
                "; run at {endpoint}: began {began}, sent {sent:?}, ended {ended:?}"
            );
        }
        let silences = self.silences.lock();
        let silences = silences
            .map(|silences| silences.clone())
            .unwrap_or_default();
        let within = silences.iter().filter(|(_, silence)| {
            silence.began <= to && silence.ends.is_none_or(|ends| ends >= from)
        });
        for (endpoint, silence) in within {
            let (kind, began) = (silence.kind, after(silence.began));
            let ends = after_some(silence.ends);
            let _ = write!(
                trace,
                "; {endpoint} silent ({kind:?}) from {began} to {ends:?}"
            );
        }
        trace
    }

    /// Sum of an endpoint's silences that lasted at some time in `from..=to`; `None` if one of them
    /// is for good.
    pub(super) fn silent_time(
        &self,
        endpoint: usize,
        from: Instant,
        to: Instant,
    ) -> Option<Duration> {
        let silences = self.silences.lock().ok()?;
        let silences = silences.iter().filter(|(index, _)| *index == endpoint);
        let within = silences.filter(|(_, silence)| {
            silence.began <= to && silence.ends.is_none_or(|ends| ends >= from)
        });
        within
            .map(|(_, silence)| Some(silence.ends?.saturating_duration_since(silence.began)))
            .sum()
    }

    /// Time in `from..to` in which an endpoint was not silent.
    pub(super) fn speaking_time(&self, endpoint: usize, from: Instant, to: Instant) -> Duration {
        let silences = self.silences.lock().map(|silences| silences.clone());
        let silences = silences.unwrap_or_default().into_iter();
        let silences = silences.filter(|(index, _)| *index == endpoint);
        let mut spans: Vec<(Instant, Instant)> = silences
            .map(|(_, silence)| (silence.began, silence.ends.unwrap_or(to)))
            .collect();
        spans.sort_unstable();
        let (mut time, mut at) = (Duration::ZERO, from);
        for (began, ends) in spans {
            time += began.min(to).saturating_duration_since(at);
            at = at.max(ends);
        }
        time + to.saturating_duration_since(at)
    }
}

impl RunGuard<'_> {
    /// Records that an event was sent.
    pub(super) fn record_event(&self) {
        self.change(|span| span.sent = Some(Instant::now()));
    }

    fn change(&self, change: impl FnOnce(&mut RunSpan)) {
        let Ok(mut runs) = self.timeline.runs.lock() else {
            return;
        };
        let spans = runs.get_mut(&self.id);
        if let Some(span) = spans.and_then(|spans| spans.get_mut(self.index)) {
            change(span);
        }
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        self.change(|span| span.ended = Some(Instant::now()));
    }
}
