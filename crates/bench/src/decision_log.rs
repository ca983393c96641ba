use std::collections::BTreeMap;
use std::fmt;

use savorywalk::telemetry::TimelineEntry;

/// Seconds of a day, after which times of day begin anew.
const DAY_SECONDS: f64 = 86_400.0;

/// Coordinators that the summary lists, those with most decisions first.
const LISTED_COORDINATORS: usize = 8;

/// What the logs of gateways say of their decisions, by windows of time: which plans are begun
/// or refused, why requests are refused, how full and how long calls are, and which entries
/// decide. It shows where load falls, without a request's id.
#[derive(Debug)]
pub(crate) struct DecisionLog {
    window_seconds: f64,
    windows: BTreeMap<i64, LoadWindow>,
    decisions: BTreeMap<String, u64>,
}

/// Decisions of one window.
#[derive(Debug, Default)]
struct LoadWindow {
    /// Plans by route and outcome.
    plans: BTreeMap<(String, String), u64>,
    plan_waits: Vec<u64>,
    /// Refused requests by route and reason.
    refused: BTreeMap<(String, String), u64>,
    calls: BTreeMap<String, PoolCalls>,
    first_events: Vec<u64>,
}

/// Answered calls to the endpoints of one pool.
#[derive(Debug, Default)]
struct PoolCalls {
    pieces: u64,
    durations: Vec<u64>,
    waits: Vec<u64>,
    /// Time of calls by endpoint, in milliseconds.
    busy: BTreeMap<String, u64>,
}

impl DecisionLog {
    /// Creates a log with windows of `window_seconds`.
    pub(crate) fn new(window_seconds: f64) -> Self {
        Self {
            window_seconds,
            windows: BTreeMap::new(),
            decisions: BTreeMap::new(),
        }
    }

    /// Adds the lines of one log; `source` names the process where its lines do not.
    pub(crate) fn read(&mut self, source: &str, log: &str) {
        for line in log.lines() {
            let Some(entry) = TimelineEntry::parse(source, line) else {
                continue;
            };
            if let Some(seconds) = line_seconds(line, &entry) {
                self.add(seconds, &entry);
            }
        }
    }

    fn add(&mut self, seconds: f64, entry: &TimelineEntry) {
        let number = (seconds / self.window_seconds).floor() as i64;
        let field = |key| field(&entry.details, key).unwrap_or_default().to_string();
        let millis = |key| field(key).parse::<u64>().unwrap_or_default();
        let window = self.windows.entry(number).or_default();
        match entry.event.as_str() {
            "plan_refused" => {
                *self.decisions.entry(entry.source.clone()).or_default() += 1;
                let key = (field("route"), "refused_at_once".to_string());
                *window.plans.entry(key).or_default() += 1;
            }
            "plan_decided" => {
                *self.decisions.entry(entry.source.clone()).or_default() += 1;
                let key = (field("route"), field("outcome"));
                *window.plans.entry(key).or_default() += 1;
                window.plan_waits.push(millis("waited_ms"));
            }
            "request_refused" => {
                let key = (field("route"), field("reason"));
                *window.refused.entry(key).or_default() += 1;
            }
            "piece_call_ended" if field("result") == "answered" => {
                let calls = window.calls.entry(field("pool")).or_default();
                calls.pieces += millis("pieces");
                calls.durations.push(millis("ms"));
                calls.waits.push(millis("waited_ms"));
                *calls.busy.entry(field("endpoint")).or_default() += millis("ms");
            }
            "stream_started" => window.first_events.push(millis("ms")),
            _ => {}
        }
    }
}

impl fmt::Display for DecisionLog {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, window) in &self.windows {
            if !window.is_empty() {
                writeln!(
                    out,
                    "from second {:.1}",
                    *number as f64 * self.window_seconds
                )?;
                window.fmt(out)?;
            }
        }
        let mut coordinators: Vec<(&String, &u64)> = self.decisions.iter().collect();
        coordinators.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
        let total: u64 = self.decisions.values().sum();
        writeln!(out, "{total} decisions on plans, by entry")?;
        for (entry, count) in coordinators.iter().take(LISTED_COORDINATORS) {
            writeln!(out, "  {count} {entry}")?;
        }
        Ok(())
    }
}

impl LoadWindow {
    fn is_empty(&self) -> bool {
        self.plans.is_empty() && self.refused.is_empty() && self.calls.is_empty()
    }
}

impl fmt::Display for LoadWindow {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for ((route, outcome), count) in &self.plans {
            writeln!(out, "  plans {route} {outcome} {count}")?;
        }
        let [median, most] = median_and_ninth_decile(&self.plan_waits);
        writeln!(out, "  wait of plans p50 {median} ms, p90 {most} ms")?;
        for ((route, reason), count) in &self.refused {
            writeln!(out, "  refused {route} {reason} {count}")?;
        }
        for (pool, calls) in &self.calls {
            writeln!(out, "  pool {pool} {calls}")?;
        }
        let [median, most] = median_and_ninth_decile(&self.first_events);
        let count = self.first_events.len();
        writeln!(out, "  first events {count} p50 {median} ms, p90 {most} ms")
    }
}

impl fmt::Display for PoolCalls {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.durations.len();
        let mean = self.pieces as f64 / count.max(1) as f64;
        let [median, most] = median_and_ninth_decile(&self.durations);
        let [wait, _] = median_and_ninth_decile(&self.waits);
        let least_busy = self.busy.values().min().copied().unwrap_or_default();
        let most_busy = self.busy.values().max().copied().unwrap_or_default();
        write!(
            out,
            "calls {count} pieces a call {mean:.1}, p50 {median} ms, p90 {most} ms, waited p50 \
             {wait} ms, endpoints {} busy {least_busy} to {most_busy} ms",
            self.busy.len()
        )
    }
}

/// Returns the value of a key in the details of a line, without quotes.
fn field<'a>(details: &'a str, key: &str) -> Option<&'a str> {
    let start = format!("{key}=");
    let (_, value) = match details.strip_prefix(&start) {
        Some(value) => ("", value),
        None => details.split_once(&format!(" {start}"))?,
    };
    match value.strip_prefix('"') {
        Some(quoted) => quoted.split('"').next(),
        None => value.split(' ').next(),
    }
}

/// Returns the time of a line in seconds: a number before it if there is one, else its time of
/// day.
fn line_seconds(line: &str, entry: &TimelineEntry) -> Option<f64> {
    let first_word = line.split_whitespace().next()?;
    if let Ok(seconds) = first_word.parse::<f64>() {
        return Some(seconds);
    }
    let (_, clock) = entry.time.split_once('T')?;
    let mut parts = clock.trim_end_matches('Z').split(':');
    let mut part = || parts.next()?.parse::<f64>().ok();
    let (hours, minutes, seconds) = (part()?, part()?, part()?);
    Some((hours * 3_600.0 + minutes * 60.0 + seconds) % DAY_SECONDS)
}

/// Returns the median and the ninth decile; 0 without values.
fn median_and_ninth_decile(values: &[u64]) -> [u64; 2] {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    [5, 9].map(|tenths| {
        let index = sorted.len() * tenths / 10;
        sorted.get(index).copied().unwrap_or_default()
    })
}

#[cfg(test)]
#[path = "decision_log_tests.rs"]
mod tests;
