use super::{RunForecast, SizeClass, StageEstimate};
use crate::configuration::PipelinePlan;
use crate::prelude::*;

/// Most stages with estimates; beyond it those without fresh samples are
/// forgotten, so that renamed pipelines leave nothing behind.
const MAX_STAGES: usize = 1_024;
/// Of the requests that estimates alone would refuse, one in this time is let
/// through for each pipeline and size, so that a wrong estimate ends.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

type ClassEstimates = [Option<StageEstimate>; SizeClass::COUNT];

/// Service times of stages, learnt by size of input.
///
/// A stage is known under two sizes: that of its own input, for when it is
/// about to run, and that of the request as it arrived, for when its input is
/// not made yet. The second is what splits a deadline: it learns that a long
/// history inflates retrieval and generation while a short query is encoding.
#[derive(Debug, Default)]
pub struct EstimateTable {
    stages: FastMap<String, FastMap<String, StageCells>>,
    probes: FastMap<String, [Option<Instant>; SizeClass::COUNT]>,
}

#[derive(Debug, Default)]
struct StageCells {
    by_own_size: ClassEstimates,
    by_request_size: ClassEstimates,
}

/// What was seen of one stage of one request.
#[derive(Clone, Copy, Debug)]
pub struct ServiceSample<'a> {
    /// The pipeline.
    pub pipeline: &'a str,
    /// The stage.
    pub stage: &'a str,
    /// Size of the request as it arrived.
    pub request_size: SizeClass,
    /// Size of the stage's own input.
    pub own_size: SizeClass,
    /// Time that it took, or after which it was ended.
    pub service: Duration,
    /// False when it was ended before its result.
    pub finished: bool,
}

/// One line of a report on estimates.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EstimateLine {
    /// The pipeline.
    pub pipeline: String,
    /// The stage.
    pub stage: String,
    /// Smallest input of the size class, in bytes.
    pub input_bytes_from: usize,
    /// Expected service time, in milliseconds.
    pub mean_ms: f64,
    /// Service time that few exceed, in milliseconds.
    pub high_ms: f64,
    /// Samples seen.
    pub samples: u32,
}

impl EstimateTable {
    /// Learns from a stage that has ended.
    pub fn learn(&mut self, now: Instant, sample: &ServiceSample<'_>) {
        let cells = self.cells_mut(now, sample.pipeline, sample.stage);
        learn(&mut cells.by_own_size, sample.own_size, now, sample);
        learn(&mut cells.by_request_size, sample.request_size, now, sample);
    }

    /// Expected time of the stage that is about to run, by its own input;
    /// `None` without fresh samples.
    pub fn stage(
        &self,
        now: Instant,
        pipeline: &str,
        stage: &str,
        own_size: SizeClass,
    ) -> Option<StageEstimate> {
        let cells = self.cells(pipeline, stage)?;
        nearest(&cells.by_own_size, own_size, now)
    }

    /// Expected time of the stages from index `first` on, for a request of
    /// that size. A stage without fresh samples counts for nothing: what is
    /// not known is no ground for a refusal.
    pub fn forecast(
        &self,
        now: Instant,
        pipeline: &PipelinePlan,
        first: usize,
        request_size: SizeClass,
    ) -> RunForecast {
        let mut forecast = RunForecast::default();
        for stage in pipeline.stages.iter().skip(first) {
            let cells = self.cells(&pipeline.name, &stage.name);
            let estimate =
                cells.and_then(|cells| nearest(&cells.by_request_size, request_size, now));
            if let Some(estimate) = estimate {
                forecast.add(&estimate);
            }
        }
        forecast
    }

    /// Whether a request that the estimates alone would refuse is let through
    /// to try them; true once in a probe interval.
    pub fn take_probe(&mut self, now: Instant, pipeline: &str, size: SizeClass) -> bool {
        if !self.probes.contains_key(pipeline) {
            if self.probes.len() >= MAX_STAGES {
                self.probes.clear();
            }
            self.probes.insert(pipeline.to_string(), Default::default());
        }
        let Some(last) = self.probes.get_mut(pipeline) else {
            return false;
        };
        let last = &mut last[size.index()];
        let due = last.is_none_or(|last| now.saturating_duration_since(last) >= PROBE_INTERVAL);
        if due {
            *last = Some(now);
        }
        due
    }

    /// All fresh estimates by the stages' own sizes, in order.
    pub fn report(&self, now: Instant) -> Vec<EstimateLine> {
        let mut lines = Vec::new();
        for (pipeline, stages) in &self.stages {
            for (stage, cells) in stages {
                let known = SizeClass::all().zip(&cells.by_own_size);
                let fresh = known.filter_map(|(class, estimate)| Some((class, estimate.as_ref()?)));
                lines.extend(
                    fresh
                        .filter(|(_, estimate)| estimate.is_fresh(now))
                        .map(|(class, estimate)| line(pipeline, stage, class, estimate)),
                );
            }
        }
        lines.sort_by(|a, b| line_key(a).cmp(&line_key(b)));
        lines
    }

    fn cells(&self, pipeline: &str, stage: &str) -> Option<&StageCells> {
        self.stages.get(pipeline)?.get(stage)
    }

    fn cells_mut(&mut self, now: Instant, pipeline: &str, stage: &str) -> &mut StageCells {
        if self.cells(pipeline, stage).is_none() {
            self.make_room(now);
        }
        let stages = self.stages.entry(pipeline.to_string()).or_default();
        stages.entry(stage.to_string()).or_default()
    }

    fn make_room(&mut self, now: Instant) {
        let known: usize = self.stages.values().map(FastMap::len).sum();
        if known < MAX_STAGES {
            return;
        }
        for stages in self.stages.values_mut() {
            stages.retain(|_, cells| cells.is_fresh(now));
        }
        self.stages.retain(|_, stages| !stages.is_empty());
    }
}

impl StageCells {
    fn is_fresh(&self, now: Instant) -> bool {
        let mut estimates = self.by_own_size.iter().flatten();
        estimates.any(|estimate| estimate.is_fresh(now))
    }
}

fn learn(
    estimates: &mut ClassEstimates,
    size: SizeClass,
    now: Instant,
    sample: &ServiceSample<'_>,
) {
    let cell = &mut estimates[size.index()];
    match cell {
        Some(estimate) if estimate.is_fresh(now) && sample.finished => {
            estimate.learn(now, sample.service);
        }
        Some(estimate) if estimate.is_fresh(now) => {
            estimate.learn_at_least(now, sample.service);
        }
        Some(_) | None => *cell = Some(StageEstimate::new(now, sample.service)),
    }
}

/// The estimate of this size, or of the nearest smaller one: a larger input
/// takes no less.
fn nearest(estimates: &ClassEstimates, size: SizeClass, now: Instant) -> Option<StageEstimate> {
    let smaller = estimates[..=size.index()].iter().rev();
    smaller
        .flatten()
        .find(|estimate| estimate.is_fresh(now))
        .copied()
}

fn line(pipeline: &str, stage: &str, class: SizeClass, estimate: &StageEstimate) -> EstimateLine {
    EstimateLine {
        pipeline: pipeline.to_string(),
        stage: stage.to_string(),
        input_bytes_from: class.lower_bytes(),
        mean_ms: estimate.mean().as_secs_f64() * 1e3,
        high_ms: estimate.high().as_secs_f64() * 1e3,
        samples: estimate.samples(),
    }
}

fn line_key(line: &EstimateLine) -> (&str, &str, usize) {
    (&line.pipeline, &line.stage, line.input_bytes_from)
}

#[cfg(test)]
#[path = "estimate_table_tests.rs"]
mod tests;
