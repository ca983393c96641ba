use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use savorywalk_standin::{DeploymentPlan, token_for};
use serde::Serialize;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::bench_deployment::{BenchDeployment, DeploymentHost};
use crate::bench_plan::{self, SINGLE_PIPELINE, STREAM_PIPELINE, STREAM_TOKENS};
use crate::bench_runtimes::{BenchRuntimes, ENTRY_THREADS, FORWARD_THREADS};
use crate::load_report::{histogram, quantile_ms};
use crate::pipeline_caller::PipelineCaller;
use crate::report_folder::ReportFolder;
use crate::{Result, bare_forwarder, processor_time};

/// Requests a second while added time is measured: far from any limit.
const CALM_RATE: f64 = 600.0;
/// Requests in progress while processor time is measured.
const CALLERS: usize = 32;
/// Streams in progress while events are counted.
const STREAMS: usize = 8;
/// The sides take turns this often, so that noise of the machine hits all.
const ROUNDS: u32 = 3;
const WORKSPACE: &str = "addis-dispatch";
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// How a request goes from the driver to a stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallSide {
    Direct,
    Forwarder,
    Entry,
}

const SIDES: [CallSide; 3] = [CallSide::Direct, CallSide::Forwarder, CallSide::Entry];

/// What is sent on a side.
#[derive(Clone, Debug)]
struct SideCall {
    address: SocketAddr,
    path: String,
    body: Bytes,
    streamed: bool,
}

/// Figures of one pipeline.
#[derive(Clone, Debug, Default, Serialize)]
struct OverheadReport {
    machine_load: f64,
    direct_p50_ms: f64,
    direct_p99_ms: f64,
    forwarder_p50_ms: f64,
    forwarder_p99_ms: f64,
    entry_p50_ms: f64,
    entry_p99_ms: f64,
    added_p50_ms: f64,
    added_p99_ms: f64,
    forwarder_micros_per_request: f64,
    entry_micros_per_request: f64,
    processor_ratio: f64,
    entry_requests_per_core_second: f64,
    entry_events_per_core_second: f64,
    forwarder_events_per_core_second: f64,
    failures: u64,
}

/// The three sides, ready to be called.
#[derive(Debug)]
struct OverheadBench {
    caller: PipelineCaller,
    single: [SideCall; 3],
    stream: [SideCall; 3],
}

/// Measures and prints.
pub(crate) fn run(seconds: f64, seed: u64, folder: &ReportFolder) -> Result<()> {
    let runtimes = BenchRuntimes::start()?;
    let report = runtimes
        .driver
        .block_on(measure(&runtimes, seconds, seed))?;
    print(&report);
    folder.write_json("overhead.json", &report)
}

async fn measure(runtimes: &BenchRuntimes, seconds: f64, seed: u64) -> Result<OverheadReport> {
    let plan = bench_plan::instant();
    let host = DeploymentHost {
        entry: runtimes.entry.handle().clone(),
        standin: runtimes.standin.handle().clone(),
        routing: "adaptive".into(),
        entries: 1,
    };
    let deployment = BenchDeployment::start(&plan, &host).await?;
    let bench = Arc::new(OverheadBench::new(runtimes, &plan, &deployment).await?);
    let span = Duration::from_secs_f64(seconds);
    let mut report = OverheadReport {
        machine_load: processor_time::machine_load(),
        ..OverheadReport::default()
    };
    bench
        .busy(&bench.single, Duration::from_millis(300))
        .await?;
    bench.added_time(span, seed, &mut report).await?;
    bench.processor_time(span, &mut report).await?;
    bench.events(span, &mut report).await?;
    deployment.stop().await;
    Ok(report)
}

impl OverheadBench {
    async fn new(
        runtimes: &BenchRuntimes,
        plan: &DeploymentPlan,
        deployment: &BenchDeployment,
    ) -> Result<Self> {
        let entry = deployment.callers()[0];
        let pipelines = &plan.configuration.pipelines;
        let lookup = &pipelines[SINGLE_PIPELINE].stages[0];
        let generate = &pipelines[STREAM_PIPELINE].stages[0];
        let question = "minibus stranded at kilometre 61 with nine passengers";
        let words = "word ".repeat(STREAM_TOKENS as usize);
        let service_body = json!({"input": question, "documents": [], "answer": ""});
        let engine_body = json!({
            "model": generate.model, "prompt": words, "max_tokens": STREAM_TOKENS,
            "stream": true, "priority": 0,
        });
        let service = targets(deployment, &lookup.pool);
        let engine = targets(deployment, &generate.pool);
        Ok(Self {
            caller: PipelineCaller::new(),
            single: [
                call(service[0], &lookup.path, &service_body, false),
                call(
                    forward(runtimes, service).await?,
                    &lookup.path,
                    &service_body,
                    false,
                ),
                entry_call(entry, SINGLE_PIPELINE, question, false),
            ],
            stream: [
                call(engine[0], "/v1/completions", &engine_body, true),
                call(
                    forward(runtimes, engine).await?,
                    "/v1/completions",
                    &engine_body,
                    true,
                ),
                entry_call(entry, STREAM_PIPELINE, &words, true),
            ],
        })
    }

    /// Time of single requests at a calm rate; each arrival takes a side by lot.
    async fn added_time(
        self: &Arc<Self>,
        span: Duration,
        seed: u64,
        report: &mut OverheadReport,
    ) -> Result<()> {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut calls = JoinSet::new();
        let mut times = SIDES.map(|_| histogram());
        let start = Instant::now();
        let mut at = Duration::ZERO;
        while at < span * SIDES.len() as u32 {
            tokio::time::sleep_until(start + at).await;
            let side = random.random_range(0..SIDES.len());
            let bench = Arc::clone(self);
            calls.spawn(async move {
                let sent = Instant::now();
                let whole = bench.send(&bench.single[side]).await;
                (side, whole, sent.elapsed())
            });
            let gap = -(1.0 - random.random::<f64>()).ln() / CALM_RATE;
            at += Duration::from_secs_f64(gap);
        }
        while let Some(ended) = calls.join_next().await {
            let (side, whole, elapsed) = ended?;
            if whole.is_some() {
                times[side].saturating_record(elapsed.as_micros() as u64);
            } else {
                report.failures += 1;
            }
        }
        let [direct, forwarder, entry] = &times;
        (report.direct_p50_ms, report.direct_p99_ms) = middle_and_tail(direct);
        (report.forwarder_p50_ms, report.forwarder_p99_ms) = middle_and_tail(forwarder);
        (report.entry_p50_ms, report.entry_p99_ms) = middle_and_tail(entry);
        report.added_p50_ms = report.entry_p50_ms - report.direct_p50_ms;
        report.added_p99_ms = report.entry_p99_ms - report.direct_p99_ms;
        Ok(())
    }

    /// Processor time of the forwarder and of the entry for each request.
    async fn processor_time(
        self: &Arc<Self>,
        span: Duration,
        report: &mut OverheadReport,
    ) -> Result<()> {
        let [forwarder, entry] = self.compare(&self.single, span).await?;
        report.failures += forwarder.failures + entry.failures;
        report.forwarder_micros_per_request = forwarder.micros_per_request();
        report.entry_micros_per_request = entry.micros_per_request();
        report.processor_ratio = entry.micros_per_request() / forwarder.micros_per_request();
        report.entry_requests_per_core_second =
            entry.requests as f64 / entry.processor.as_secs_f64();
        Ok(())
    }

    /// Events that the forwarder and the entry carry in a second of a core.
    async fn events(self: &Arc<Self>, span: Duration, report: &mut OverheadReport) -> Result<()> {
        let [forwarder, entry] = self.compare(&self.stream, span).await?;
        report.failures += forwarder.failures + entry.failures;
        report.forwarder_events_per_core_second =
            forwarder.events as f64 / forwarder.processor.as_secs_f64();
        report.entry_events_per_core_second = entry.events as f64 / entry.processor.as_secs_f64();
        Ok(())
    }

    /// Runs the forwarder's and the entry's side in turns.
    async fn compare(
        self: &Arc<Self>,
        calls: &[SideCall; 3],
        span: Duration,
    ) -> Result<[BusyCount; 2]> {
        let [_, forwarder, entry] = calls;
        let mut counts = [BusyCount::default(), BusyCount::default()];
        for _ in 0..ROUNDS {
            for (count, (call, threads)) in counts
                .iter_mut()
                .zip([(forwarder, FORWARD_THREADS), (entry, ENTRY_THREADS)])
            {
                let before = processor_time::of_threads(threads);
                count.add(self.closed_loop(call, span / ROUNDS).await?);
                count.processor += processor_time::of_threads(threads) - before;
            }
        }
        Ok(counts)
    }

    /// Warms all sides up.
    async fn busy(self: &Arc<Self>, calls: &[SideCall; 3], span: Duration) -> Result<()> {
        for call in calls {
            self.closed_loop(call, span).await?;
        }
        Ok(())
    }

    async fn closed_loop(self: &Arc<Self>, call: &SideCall, span: Duration) -> Result<BusyCount> {
        let callers = if call.streamed { STREAMS } else { CALLERS };
        let start = Instant::now();
        let mut loops = JoinSet::new();
        for _ in 0..callers {
            let (bench, call) = (Arc::clone(self), call.clone());
            loops.spawn(async move {
                let mut count = BusyCount::default();
                while start.elapsed() < span {
                    match bench.send(&call).await {
                        Some(body) => count.record(&body),
                        None => count.failures += 1,
                    }
                }
                count
            });
        }
        let mut total = BusyCount::default();
        while let Some(count) = loops.join_next().await {
            total.add(count?);
        }
        Ok(total)
    }

    /// The body of a whole answer.
    async fn send(&self, call: &SideCall) -> Option<Bytes> {
        let token = token_for(WORKSPACE);
        let body = call.body.clone();
        let sent = self
            .caller
            .post(call.address, &call.path, &token, body, call.streamed);
        match sent.await {
            Ok((status, body)) if status.is_success() => Some(body),
            Ok((status, body)) => {
                log::warn!("event=call_refused status={status} body={body:?}");
                None
            }
            Err(error) => {
                log::warn!("event=call_lost error={error}");
                None
            }
        }
    }
}

/// What a closed loop did.
#[derive(Clone, Copy, Debug, Default)]
struct BusyCount {
    requests: u64,
    events: u64,
    failures: u64,
    processor: Duration,
}

impl BusyCount {
    fn record(&mut self, body: &Bytes) {
        self.requests += 1;
        self.events += body.windows(2).filter(|pair| pair == b"\n\n").count() as u64;
    }

    fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.events += other.events;
        self.failures += other.failures;
        self.processor += other.processor;
    }

    fn micros_per_request(&self) -> f64 {
        self.processor.as_secs_f64() * MILLIS_PER_SECOND * MILLIS_PER_SECOND
            / self.requests.max(1) as f64
    }
}

fn middle_and_tail(times: &hdrhistogram::Histogram<u64>) -> (f64, f64) {
    (quantile_ms(times, 0.5), quantile_ms(times, 0.99))
}

fn targets(deployment: &BenchDeployment, pool: &str) -> Vec<SocketAddr> {
    let servers = deployment.pool(pool).into_iter();
    servers.map(|server| server.address()).collect()
}

async fn forward(runtimes: &BenchRuntimes, targets: Vec<SocketAddr>) -> Result<SocketAddr> {
    runtimes
        .forward
        .spawn(bare_forwarder::start(targets))
        .await?
}

fn call(address: SocketAddr, path: &str, body: &serde_json::Value, streamed: bool) -> SideCall {
    SideCall {
        address,
        path: path.to_string(),
        body: Bytes::from(body.to_string()),
        streamed,
    }
}

fn entry_call(entry: SocketAddr, pipeline: &str, input: &str, streamed: bool) -> SideCall {
    let path = format!("/v1/pipelines/{pipeline}");
    call(entry, &path, &json!({"input": input}), streamed)
}

fn print(report: &OverheadReport) {
    println!(
        "machine load average {:.1}; failed calls {}",
        report.machine_load, report.failures
    );
    println!("{:<12} {:>9} {:>9}", "one stage", "p50 ms", "p99 ms");
    for (name, p50, p99) in [
        ("direct", report.direct_p50_ms, report.direct_p99_ms),
        (
            "forwarder",
            report.forwarder_p50_ms,
            report.forwarder_p99_ms,
        ),
        ("entry", report.entry_p50_ms, report.entry_p99_ms),
        ("added", report.added_p50_ms, report.added_p99_ms),
    ] {
        println!("{name:<12} {p50:>9.3} {p99:>9.3}");
    }
    println!(
        "processor time per request: forwarder {:.1} us, entry {:.1} us, ratio {:.2}",
        report.forwarder_micros_per_request,
        report.entry_micros_per_request,
        report.processor_ratio
    );
    println!(
        "requests per core second: {:.0}",
        report.entry_requests_per_core_second
    );
    println!(
        "events per core second: forwarder {:.0}, entry {:.0}",
        report.forwarder_events_per_core_second, report.entry_events_per_core_second
    );
}
