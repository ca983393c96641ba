use std::sync::Mutex;

use savorywalk::prelude::*;

use super::endpoint_switch::Silence;

/// One run of a request at an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunSpan {
    pub(super) endpoint: usize,
    pub(super) began: Instant,
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
        let mut index = 0;
        if let Ok(mut runs) = self.runs.lock() {
            let spans = runs.entry(id.to_string()).or_default();
            index = spans.len();
            spans.push(RunSpan {
                endpoint,
                began: Instant::now(),
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

    /// Runs of a request, in the order of their beginnings.
    pub(super) fn runs(&self, id: &str) -> Vec<RunSpan> {
        let runs = self.runs.lock().ok();
        let spans = runs.and_then(|runs| runs.get(id).cloned());
        spans.unwrap_or_default()
    }

    /// Longest time for which two endpoints worked on the same request at once.
    pub(super) fn longest_overlap(&self) -> Duration {
        let Ok(runs) = self.runs.lock() else {
            return Duration::ZERO;
        };
        let overlaps = runs.values().flat_map(|spans| {
            spans.windows(2).map(|pair| {
                let first_end = pair[0].ended.unwrap_or_else(Instant::now);
                let second_end = pair[1].ended.unwrap_or_else(Instant::now);
                let end = first_end.min(second_end);
                end.saturating_duration_since(pair[1].began)
            })
        });
        overlaps.max().unwrap_or_default()
    }

    /// Longest silence of an endpoint that lasted at some time in `from..to`; `None` if it was one
    /// for good.
    pub(super) fn longest_silence(
        &self,
        endpoint: usize,
        from: Instant,
        to: Instant,
    ) -> Option<Duration> {
        let silences = self.silences.lock().ok()?;
        let mut longest = Duration::ZERO;
        for (_, silence) in silences.iter().filter(|(index, _)| *index == endpoint) {
            let is_within = silence.began <= to && silence.ends.is_none_or(|ends| ends >= from);
            if is_within {
                longest = longest.max(silence.ends? - silence.began);
            }
        }
        Some(longest)
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        let Ok(mut runs) = self.timeline.runs.lock() else {
            return;
        };
        let span = runs
            .get_mut(&self.id)
            .and_then(|spans| spans.get_mut(self.index));
        if let Some(span) = span {
            span.ended = Some(Instant::now());
        }
    }
}
