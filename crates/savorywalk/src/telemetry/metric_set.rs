use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::process_collector::ProcessCollector;
use prometheus::{Encoder, Registry, TextEncoder};

use super::Result;
use crate::cost::{CostEntry, WasteReason};
use crate::prelude::*;

/// Upper bounds of the duration buckets, in seconds.
const DURATION_BUCKETS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 7.0, 15.0,
];

/// Why metrics could not be set up or written.
#[derive(Debug, Error)]
pub enum MetricError {
    /// The exporter refused its registry.
    #[error("metrics could not be set up: {0}; start the daemon again")]
    Setup(String),
    /// The registry refused a collector or could not be written as text.
    #[error("metrics could not be collected: {0}; scrape again, or start the daemon again")]
    Registry(#[from] prometheus::Error),
}

/// How a request ended, as the label of its metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Answered whole and within its deadline.
    Answered,
    /// Ended with an error of this kind.
    Failed(&'static str),
}

/// Whose stage a metric is about.
#[derive(Clone, Copy, Debug)]
pub struct StageLabels<'a> {
    /// Workspace that pays.
    pub workspace: &'a str,
    /// Pipeline.
    pub pipeline: &'a str,
    /// Stage of the pipeline.
    pub stage: &'a str,
}

impl StageLabels<'_> {
    fn pairs(&self) -> [KeyValue; 3] {
        [
            KeyValue::new("workspace", self.workspace.to_string()),
            KeyValue::new("pipeline", self.pipeline.to_string()),
            KeyValue::new("stage", self.stage.to_string()),
        ]
    }
}

/// The metrics of one daemon, exported as Prometheus text.
#[derive(Debug)]
pub struct MetricSet {
    registry: Registry,
    _provider: SdkMeterProvider,
    meter: Meter,
    calls: Counter<u64>,
    requests: Counter<u64>,
    request_seconds: Histogram<f64>,
    stage_seconds: Counter<f64>,
    stage_tokens: Counter<u64>,
    wasted_seconds: Counter<f64>,
    refusals: Counter<u64>,
    queue_seconds: Histogram<f64>,
}

impl MetricSet {
    /// Sets up the instruments of one daemon with a registry of its own, so
    /// that several daemons can live in one process.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        registry.register(Box::new(ProcessCollector::for_self()))?;
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .scope_info_enabled(false)
            .without_target_info()
            .build()
            .map_err(|error| MetricError::Setup(error.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("savorywalk");
        Ok(Self {
            registry,
            calls: meter
                .u64_counter("savorywalk_api_calls")
                .with_description("HTTP calls by listener and by how they ended")
                .build(),
            requests: meter
                .u64_counter("savorywalk_requests")
                .with_description("Pipeline requests that have ended")
                .build(),
            request_seconds: meter
                .f64_histogram("savorywalk_request_duration")
                .with_description("Time from a request's arrival to its end")
                .with_unit("s")
                .with_boundaries(DURATION_BUCKETS.to_vec())
                .build(),
            stage_seconds: meter
                .f64_counter("savorywalk_stage_endpoint")
                .with_description("Endpoint time that went into answers")
                .with_unit("s")
                .build(),
            stage_tokens: meter
                .u64_counter("savorywalk_stage_tokens")
                .with_description("Tokens read and written by endpoints")
                .build(),
            wasted_seconds: meter
                .f64_counter("savorywalk_stage_wasted")
                .with_description("Endpoint time that went into no answer, by reason")
                .with_unit("s")
                .build(),
            refusals: meter
                .u64_counter("savorywalk_refusals")
                .with_description("Requests refused before any part of them ran")
                .build(),
            queue_seconds: meter
                .f64_histogram("savorywalk_queue_wait")
                .with_description("Time that a stage waited for its turn at a pool")
                .with_unit("s")
                .with_boundaries(DURATION_BUCKETS.to_vec())
                .build(),
            meter,
            _provider: provider,
        })
    }

    /// Where another part adds instruments of its own.
    pub fn meter(&self) -> &Meter {
        &self.meter
    }

    /// Counts a call that has been answered; `outcome` is `ok` or the error's kind.
    pub fn record_call(&self, listener: &'static str, outcome: &'static str) {
        let labels = [
            KeyValue::new("listener", listener),
            KeyValue::new("outcome", outcome),
        ];
        self.calls.add(1, &labels);
    }

    /// Counts a request that has ended.
    pub fn record_request(&self, pipeline: &str, outcome: RequestOutcome, elapsed: Duration) {
        let outcome = match outcome {
            RequestOutcome::Answered => "answered",
            RequestOutcome::Failed(kind) => kind,
        };
        let labels = [
            KeyValue::new("pipeline", pipeline.to_string()),
            KeyValue::new("outcome", outcome),
        ];
        self.requests.add(1, &labels);
        self.request_seconds.record(elapsed.as_secs_f64(), &labels);
    }

    /// Counts the cost of a stage of a run that has ended.
    pub fn record_cost(&self, labels: StageLabels<'_>, entry: &CostEntry) {
        let pairs = labels.pairs();
        self.stage_seconds.add(entry.endpoint_seconds, &pairs);
        self.stage_tokens.add(entry.tokens, &pairs);
        for reason in WasteReason::ALL {
            let seconds = entry.waste.of(reason);
            if seconds > 0.0 {
                let [workspace, pipeline, stage] = pairs.clone();
                let reason = KeyValue::new("reason", reason.label());
                self.wasted_seconds
                    .add(seconds, &[workspace, pipeline, stage, reason]);
            }
        }
    }

    /// Counts a request that was refused before any part of it ran.
    pub fn record_refusal(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts how long a stage waited for its turn at a pool.
    pub fn record_queue_wait(&self, pool: &str, wait: Duration) {
        let labels = [KeyValue::new("pool", pool.to_string())];
        self.queue_seconds.record(wait.as_secs_f64(), &labels);
    }

    /// All metrics as Prometheus text.
    pub fn text(&self) -> Result<String> {
        let mut buffer = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buffer)?;
        Ok(String::from_utf8_lossy(&buffer).into_owned())
    }
}
