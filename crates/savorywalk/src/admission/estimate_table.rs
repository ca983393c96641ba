use super::{RunForecast, SizeClass, StageEstimate};
use crate::configuration::PipelinePlan;
use crate::prelude::*;

/// Number of stages above which those without fresh samples are evicted, so that renamed
/// pipelines don't leak memory.
const MAX_STAGES: usize = 1_024;
/// Shortest time between two probes of one pipeline and size class. A probe is a request that
/// is admitted although the estimates would refuse it, so that a wrong estimate gets corrected.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

type ClassEstimates = [Option<StageEstimate>; SizeClass::COUNT];

/// Estimated service times of stages, by size of input.
///
/// Each stage has estimates by two sizes. The size of its own input applies when the stage is
/// about to run. The size of the request as it arrived applies while the stage's input doesn't
/// exist yet, and divides the deadline among the stages. For instance, while a short query is
/// being encoded, it predicts that a long history will slow down retrieval and generation.
#[derive(Debug, Default)]
pub struct EstimateTable {
    stages: FastMap<String, FastMap<String, SizedEstimates>>,
    probes: FastMap<String, [Option<Instant>; SizeClass::COUNT]>,
}

#[derive(Debug, Default)]
struct SizedEstimates {
    by_own_size: ClassEstimates,
    by_request_size: ClassEstimates,
}

/// Service time of one stage of one request.
#[derive(Clone, Copy, Debug)]
pub struct ServiceSample<'a> {
    /// Name of the pipeline.
    pub pipeline: &'a str,
    /// Name of the stage.
    pub stage: &'a str,
    /// Size of the request as it arrived.
    pub request_size: SizeClass,
    /// Size of the stage's own input.
    pub own_size: SizeClass,
    /// Time until the stage gave its result or was cut off.
    pub service: Duration,
    /// False if the stage was cut off before its result.
    pub finished: bool,
}

/// Estimate of one stage for one size class, as shown to operators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EstimateLine {
    /// Name of the pipeline.
    pub pipeline: String,
    /// Name of the stage.
    pub stage: String,
    /// Lower bound of the size class, in bytes.
    pub input_bytes_from: usize,
    /// Expected service time, in milliseconds.
    pub mean_ms: f64,
    /// High estimate of the service time, in milliseconds; few stages exceed it.
    pub high_ms: f64,
    /// Number of samples behind the estimate.
    pub samples: u32,
}

impl EstimateTable {
    /// Adds the sample of a stage that has ended.
    pub fn record_sample(&mut self, now: Instant, sample: &ServiceSample<'_>) {
        let estimates = self.estimates_mut(now, sample.pipeline, sample.stage);
        add_sample(&mut estimates.by_own_size, sample.own_size, now, sample);
        add_sample(
            &mut estimates.by_request_size,
            sample.request_size,
            now,
            sample,
        );
    }

    /// Estimate of a stage that is about to run, by the size of its own input. `None` without
    /// fresh samples.
    pub fn stage(
        &self,
        now: Instant,
        pipeline: &str,
        stage: &str,
        own_size: SizeClass,
    ) -> Option<StageEstimate> {
        let estimates = self.estimates(pipeline, stage)?;
        nearest(&estimates.by_own_size, own_size, now)
    }

    /// Expected time of the stages from index `first` on, for a request of `request_size`.
    /// A stage without fresh samples counts as zero, so that missing estimates never cause a
    /// refusal.
    pub fn forecast(
        &self,
        now: Instant,
        pipeline: &PipelinePlan,
        first: usize,
        request_size: SizeClass,
    ) -> RunForecast {
        let mut forecast = RunForecast::default();
        for stage in pipeline.stages.iter().skip(first) {
            let estimates = self.estimates(&pipeline.name, &stage.name);
            let estimate = estimates
                .and_then(|estimates| nearest(&estimates.by_request_size, request_size, now));
            if let Some(estimate) = estimate {
                forecast.add(&estimate);
            }
        }
        forecast
    }

    /// Whether a request that the estimates would refuse may run as a probe. Returns true at
    /// most once per probe interval, for each pipeline and size class.
    pub fn try_start_probe(&mut self, now: Instant, pipeline: &str, size: SizeClass) -> bool {
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
        let is_due = last.is_none_or(|last| now.saturating_duration_since(last) >= PROBE_INTERVAL);
        if is_due {
            *last = Some(now);
        }
        is_due
    }

    /// All fresh estimates by the size of the stages' own input, sorted by pipeline, stage and
    /// size.
    pub fn report(&self, now: Instant) -> Vec<EstimateLine> {
        let mut lines = Vec::new();
        for (pipeline, stages) in &self.stages {
            for (stage, estimates) in stages {
                let known = SizeClass::all().zip(&estimates.by_own_size);
                let fresh = known.filter_map(|(class, estimate)| Some((class, estimate.as_ref()?)));
                lines.extend(
                    fresh
                        .filter(|(_, estimate)| estimate.is_fresh(now))
                        .map(|(class, estimate)| report_line(pipeline, stage, class, estimate)),
                );
            }
        }
        lines.sort_by(|a, b| line_key(a).cmp(&line_key(b)));
        lines
    }

    fn estimates(&self, pipeline: &str, stage: &str) -> Option<&SizedEstimates> {
        self.stages.get(pipeline)?.get(stage)
    }

    fn estimates_mut(&mut self, now: Instant, pipeline: &str, stage: &str) -> &mut SizedEstimates {
        if self.estimates(pipeline, stage).is_none() {
            self.evict_stale(now);
        }
        let stages = self.stages.entry(pipeline.to_string()).or_default();
        stages.entry(stage.to_string()).or_default()
    }

    fn evict_stale(&mut self, now: Instant) {
        let known: usize = self.stages.values().map(FastMap::len).sum();
        if known < MAX_STAGES {
            return;
        }
        for stages in self.stages.values_mut() {
            stages.retain(|_, estimates| estimates.is_fresh(now));
        }
        self.stages.retain(|_, stages| !stages.is_empty());
    }
}

impl SizedEstimates {
    fn is_fresh(&self, now: Instant) -> bool {
        let mut estimates = self.by_own_size.iter().flatten();
        estimates.any(|estimate| estimate.is_fresh(now))
    }
}

fn add_sample(
    estimates: &mut ClassEstimates,
    size: SizeClass,
    now: Instant,
    sample: &ServiceSample<'_>,
) {
    let entry = &mut estimates[size.index()];
    match entry {
        Some(estimate) if estimate.is_fresh(now) && sample.finished => {
            estimate.add_sample(now, sample.service);
        }
        Some(estimate) if estimate.is_fresh(now) => {
            estimate.add_lower_bound(now, sample.service);
        }
        Some(_) | None => *entry = Some(StageEstimate::new(now, sample.service)),
    }
}

/// The fresh estimate of this size class, or of the nearest smaller one. A larger input is
/// assumed to take at least as long.
fn nearest(estimates: &ClassEstimates, size: SizeClass, now: Instant) -> Option<StageEstimate> {
    let smaller = estimates[..=size.index()].iter().rev();
    smaller
        .flatten()
        .find(|estimate| estimate.is_fresh(now))
        .copied()
}

fn report_line(
    pipeline: &str,
    stage: &str,
    class: SizeClass,
    estimate: &StageEstimate,
) -> EstimateLine {
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
