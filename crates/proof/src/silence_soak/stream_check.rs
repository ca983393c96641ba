use savorywalk::prelude::*;

use super::endpoint_timeline::EndpointTimeline;
use super::gateway_timeline::GatewayTimeline;
use super::silent_endpoint::EVENT_INTERVAL;
use super::stream_callers::PATIENCE;
use super::{StreamEnd, StreamExcuse, StreamOutcome};

/// Time that an event may need beside the silences before it, within a caller's wait.
const RELAY_TIME: Duration = Duration::from_millis(400);

/// Part of the stop time after whose end a stream of a stopping gateway may be cut.
const STOP_PART: f64 = 5.0 / 6.0;

/// Longest time for which an endpoint may work on a stream that another one has taken up, by the
/// users' rules.
const MAX_OVERLAP: Duration = Duration::from_millis(400);

/// Decides which streams were broken off although they could have gone on.
pub(super) struct StreamCheck<'a> {
    pub(super) engines: &'a EndpointTimeline,
    pub(super) gateways: &'a GatewayTimeline,
    /// Whether a stream may fail to be whole; in plays without such faults none may.
    pub(super) has_excuses: bool,
    /// Time within which gateways that are asked to stop end.
    pub(super) stop_time: Duration,
    /// Shortest timeout of the route in the run.
    pub(super) route_timeout: Duration,
}

impl StreamCheck<'_> {
    /// What is wrong with a stream, if anything is.
    pub(super) fn breach(&self, outcome: &StreamOutcome) -> Option<String> {
        let overlap = self.engines.longest_overlap(&outcome.id);
        let frozen = self
            .gateways
            .frozen_time(outcome.gateway, outcome.sent, outcome.ended);
        if overlap > MAX_OVERLAP + frozen {
            let overlap = overlap.as_millis();
            return Some(format!("{outcome}; two engines at once for {overlap} ms"));
        }
        let is_sound = outcome.end == StreamEnd::Whole || self.excuse(outcome).is_some();
        (!is_sound).then(|| {
            let from = outcome.sent;
            let trace = self.engines.trace(&outcome.id, from, outcome.ended);
            let frozen = frozen.as_millis();
            format!("{outcome}; its gateway was frozen for {frozen} ms{trace}")
        })
    }

    /// Why a stream that is not whole is not counted, if anything excuses it.
    pub(super) fn excuse(&self, outcome: &StreamOutcome) -> Option<StreamExcuse> {
        if !self.has_excuses {
            return None;
        }
        match outcome.end {
            StreamEnd::Unreached => return Some(StreamExcuse::NotRun),
            StreamEnd::Whole | StreamEnd::Wrong => return None,
            StreamEnd::Refused | StreamEnd::Unanswered | StreamEnd::Broken | StreamEnd::Left => {}
        }
        let gateway = outcome.gateway;
        let (sent, ended) = (outcome.sent, outcome.ended);
        let runs = self.engines.runs(&outcome.id);
        let stop_part = self.stop_time.mul_f64(STOP_PART);
        let stops = self.gateways.stops(gateway, sent);
        let mut stop_ends = stops.map(|stop| stop + stop_part);
        let Some(first) = runs.first() else {
            return Some(StreamExcuse::NotRun);
        };
        if outcome.end == StreamEnd::Left && outcome.events == 0 && first.began > sent + RELAY_TIME
        {
            return Some(StreamExcuse::BegunLate);
        }
        if self.gateways.is_killed(gateway, sent, ended) {
            return Some(StreamExcuse::Killed);
        }
        if stop_ends.any(|end| ended >= end && sent <= end) {
            return Some(StreamExcuse::StopTimeOver);
        }
        if ended - sent + RELAY_TIME >= self.route_timeout {
            return Some(StreamExcuse::TimedOut);
        }
        let from = outcome.heard.checked_sub(EVENT_INTERVAL)?;
        let frozen = self.gateways.frozen_time(gateway, from, ended);
        let last = runs.iter().max_by_key(|run| run.sent)?;
        let silent = self.engines.silent_time(last.endpoint, from, ended);
        let is_silent = silent.is_none_or(|silent| silent + frozen + RELAY_TIME >= PATIENCE);
        // None of the endpoints that got the stream could have sent an event in time. One that got it late
        // says nothing about when it was sought.
        let are_all_silent = runs.iter().all(|run| {
            let began = run.began.max(from);
            let speaking = self.engines.speaking_time(run.endpoint, began, ended);
            let allowed = RELAY_TIME + frozen;
            speaking <= allowed && ended.saturating_duration_since(began) > allowed
        });
        let was_waited_for = ended - from + RELAY_TIME >= PATIENCE;
        let is_excused = is_silent || (are_all_silent && was_waited_for);
        is_excused.then_some(StreamExcuse::Silent)
    }
}

#[cfg(test)]
#[path = "stream_check_tests.rs"]
mod tests;
