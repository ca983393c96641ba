use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use savorywalk::cost::CostLine;
use serde::Serialize;

use crate::load_driver::RequestRecord;
use crate::pipeline_caller::CallOutcome;

const MAX_MICROS: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const MICROS_PER_MILLI: f64 = 1_000.0;
const PERCENT: f64 = 100.0;

/// What one run gave.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct LoadReport {
    pub(crate) requests: usize,
    /// Share answered whole and in time, in percent.
    pub(crate) attainment: f64,
    /// Whole answers in time, a second.
    pub(crate) goodput: f64,
    pub(crate) p50_ms: f64,
    pub(crate) p99_ms: f64,
    /// Answers that came whole but late.
    pub(crate) late: usize,
    /// Errors by kind.
    pub(crate) errors: BTreeMap<String, usize>,
    /// Attainment of each workspace, in percent.
    pub(crate) workspaces: BTreeMap<String, f64>,
    /// Endpoint seconds by stage, warm-up included.
    pub(crate) stage_seconds: BTreeMap<String, f64>,
    /// Share of endpoint time that gave no result, in percent.
    pub(crate) wasted: f64,
    /// Requests that waited within the engines, on average over the run.
    pub(crate) engine_queue: f64,
    /// Answers that each engine made, warm-up included.
    pub(crate) engine_answers: BTreeMap<String, u64>,
}

/// Requests of one group that were answered in time, and all of them.
#[derive(Clone, Copy, Debug, Default)]
struct GroupCount {
    in_time: usize,
    all: usize,
}

impl GroupCount {
    fn share(self) -> f64 {
        PERCENT * self.in_time as f64 / self.all.max(1) as f64
    }
}

impl LoadReport {
    /// Sums up the requests that arrived after `warm_up` within `span`.
    pub(crate) fn new(
        records: &[RequestRecord],
        warm_up: Duration,
        span: Duration,
        deadline: Duration,
        costs: &[CostLine],
    ) -> Self {
        let mut report = Self::default();
        let mut total = GroupCount::default();
        let mut groups: BTreeMap<&str, GroupCount> = BTreeMap::new();
        let mut times = histogram();
        for record in records.iter().filter(|record| record.at >= warm_up) {
            let in_time = report.count(record, deadline);
            for group in [&mut total, groups.entry(&record.workspace).or_default()] {
                group.all += 1;
                group.in_time += usize::from(in_time);
            }
            if in_time {
                times.saturating_record(record.elapsed.as_micros() as u64);
            }
        }
        report.requests = total.all;
        report.attainment = total.share();
        report.goodput = total.in_time as f64 / span.as_secs_f64();
        report.p50_ms = quantile_ms(&times, 0.5);
        report.p99_ms = quantile_ms(&times, 0.99);
        let shares = groups
            .iter()
            .map(|(name, group)| (name.to_string(), group.share()));
        report.workspaces = shares.collect();
        report.add_costs(costs);
        report
    }

    /// Attainment over all workspaces but one, weighted equally.
    pub(crate) fn attainment_without(&self, workspace: &str) -> f64 {
        let others = self
            .workspaces
            .iter()
            .filter(|(name, _)| *name != workspace);
        let shares: Vec<f64> = others.map(|(_, share)| *share).collect();
        shares.iter().sum::<f64>() / shares.len().max(1) as f64
    }

    /// Answers of the busiest engine, in units of the average.
    pub(crate) fn imbalance(&self) -> f64 {
        let answers = self.engine_answers.values();
        let total: u64 = answers.clone().sum();
        let most = answers.clone().max().copied().unwrap_or_default();
        most as f64 * answers.len() as f64 / total.max(1) as f64
    }

    /// Counts one request; tells whether it was answered in time.
    fn count(&mut self, record: &RequestRecord, deadline: Duration) -> bool {
        match &record.outcome {
            CallOutcome::Answered if record.elapsed <= deadline => return true,
            CallOutcome::Answered => self.late += 1,
            CallOutcome::Refused(kind) => *self.errors.entry(kind.clone()).or_default() += 1,
            CallOutcome::Lost(_) => *self.errors.entry("lost".into()).or_default() += 1,
        }
        false
    }

    fn add_costs(&mut self, costs: &[CostLine]) {
        let mut useful = 0.0;
        let mut wasted = 0.0;
        for line in costs {
            let seconds = self
                .stage_seconds
                .entry(line.key.stage.clone())
                .or_default();
            *seconds += line.entry.endpoint_seconds;
            useful += line.entry.endpoint_seconds;
            wasted += line.entry.wasted_seconds;
        }
        if useful + wasted > 0.0 {
            self.wasted = PERCENT * wasted / (useful + wasted);
        }
    }
}

/// A histogram of microseconds.
pub(crate) fn histogram() -> Histogram<u64> {
    match Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS) {
        Ok(histogram) => histogram,
        Err(error) => unreachable!("the bounds are constants: {error}"),
    }
}

/// A quantile of a histogram of microseconds, in milliseconds.
pub(crate) fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI
}

#[cfg(test)]
#[path = "load_report_tests.rs"]
mod tests;
