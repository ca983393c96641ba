/// Events that touch a request, with what each of them says. The catalogue of
/// `savorywalk explain`; docs/OPERATIONS.md leads from an id to a cause.
pub const REQUEST_EVENTS: [(&str, &str); 19] = [
    (
        "plan_refused",
        "its stages can't be in time in this shard; other_shard names the next one, returns says what its caller is told",
    ),
    (
        "plan_decided",
        "its stages were begun or refused after waited_ms; outcome says which",
    ),
    (
        "stages_done",
        "its stages are done; done_ms says when each was",
    ),
    (
        "inputs_gone",
        "results of a stage were lost and are made again",
    ),
    (
        "coordinator_lost",
        "the entry that coordinates a shard did not answer; the next one does it",
    ),
    (
        "coordinator_late",
        "the entry that coordinates a shard has its call, and did not answer in time; it is probed",
    ),
    (
        "permit_answered",
        "requested a permit to send it to a limited endpoint; answer holds the outcome",
    ),
    ("attempt_sent", "sent to an endpoint"),
    (
        "attempt_withheld",
        "chosen for an endpoint, but not sent; reason says why",
    ),
    (
        "attempt_denied",
        "an endpoint vouches that it has not run it",
    ),
    ("attempt_failed", "an attempt failed; another may follow"),
    (
        "stream_started",
        "the first event came; ms counts from the send",
    ),
    (
        "stream_resumed",
        "the stream goes on at another endpoint after last_event",
    ),
    ("stream_broken", "the stream broke off and could not go on"),
    ("stream_ended", "the stream came to its proven end"),
    (
        "quarantine_met",
        "endpoints crash under it wherever it runs, so no other one gets it",
    ),
    ("request_answered", "answered whole"),
    (
        "request_refused",
        "ended by the gateway; reason and detail say why",
    ),
    ("call_refused", "a call was refused"),
];

/// Events after which a request has no more to tell.
const LAST_EVENTS: [&str; 4] = [
    "request_answered",
    "request_refused",
    "stream_ended",
    "stream_broken",
];

/// One log line that is about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimelineEntry {
    /// Its time, as the process that wrote it saw the time of day.
    pub time: String,
    /// The process, by the name of its file or the words before the line.
    pub source: String,
    /// The event.
    pub event: String,
    /// Everything else that the line says.
    pub details: String,
}

impl TimelineEntry {
    /// Parses a log line; `None` if it is not one. `source` names the process where no word
    /// before the line does.
    pub fn parse(source: &str, line: &str) -> Option<Self> {
        let (before, rest) = line.split_once("time=")?;
        let (time, rest) = rest.split_once(' ')?;
        let (_, rest) = rest.split_once("event=")?;
        let (event, details) = rest.split_once(' ').unwrap_or((rest, ""));
        let named = before.split_whitespace().last().unwrap_or(source);
        Some(Self {
            time: time.to_string(),
            source: named.to_string(),
            event: event.to_string(),
            details: details.to_string(),
        })
    }
}

/// All that logs tell of one request, in order of time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestTimeline {
    lines: Vec<TimelineEntry>,
}

impl RequestTimeline {
    /// Adds the lines of one log that are about the request `id`.
    pub fn read(&mut self, id: &str, source: &str, log: &str) {
        let wanted = format!("request={id}");
        for line in log.lines() {
            let is_about = line.split_whitespace().any(|word| word == wanted);
            if let (true, Some(line)) = (is_about, TimelineEntry::parse(source, line)) {
                self.lines.push(line);
            }
        }
        self.lines.sort_by(|left, right| left.time.cmp(&right.time));
    }

    /// The lines, in order of time.
    pub fn lines(&self) -> &[TimelineEntry] {
        &self.lines
    }

    /// What these logs can't tell.
    pub fn gap(&self) -> Option<&'static str> {
        let Some(last) = self.lines.last() else {
            return Some("no line is about this request; give the logs of every entry");
        };
        let has_ended = LAST_EVENTS.contains(&last.event.as_str());
        (!has_ended).then_some(
            "the logs do not tell how it ended: its caller left, the process died, \
             or its lines were dropped (event=log_lines_dropped)",
        )
    }
}

/// What an event says; `None` for one that the catalogue lacks.
pub fn event_meaning(event: &str) -> Option<&'static str> {
    let known = REQUEST_EVENTS.iter().find(|(name, _)| *name == event);
    known.map(|(_, meaning)| *meaning)
}

#[cfg(test)]
#[path = "request_timeline_tests.rs"]
mod tests;
