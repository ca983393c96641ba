use std::sync::Arc;
use std::time::Duration;

use savorywalk_standin::{DeploymentPlan, EndpointServer};
use tokio::runtime::Handle;

use crate::Result;
use crate::arrival_plan::{self, ArrivalOptions, WeightedName};
use crate::bench_deployment::{BenchDeployment, DeploymentHost};
use crate::bench_plan;
use crate::engine_trouble::EngineTrouble;
use crate::load_driver::LoadDriver;
use crate::load_report::LoadReport;
use crate::pipeline_caller::PipelineCaller;

/// Entries of today's deployments.
const ENTRIES: usize = 6;
/// Part of a run that is not counted.
const WARM_UP: Duration = Duration::from_secs(1);
/// Requests in progress while capacity is measured: four times as many as
/// engines have slots, so that no slot is free although entries don't share
/// what they know.
const CALIBRATION_CALLERS: usize = 144;
const CALIBRATION_SPAN: Duration = Duration::from_secs(3);
/// Without a deadline that matters: capacity is what gets done at all.
const CALIBRATION_DEADLINE: Duration = Duration::from_secs(10);
/// Requests that a calibration draws from, again and again.
const CALIBRATION_RATE: f64 = 1_000.0;

/// How often the engines' queues are looked at.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// One run of load against a fresh deployment.
#[derive(Clone, Debug)]
pub(crate) struct LoadRun {
    pub(crate) seed: u64,
    pub(crate) routing: String,
    /// Requests a second.
    pub(crate) rate: f64,
    pub(crate) burst: f64,
    pub(crate) span: Duration,
    pub(crate) workspaces: Vec<WeightedName>,
    pub(crate) trouble: EngineTrouble,
}

impl LoadRun {
    /// Runs it; everything starts anew and is gone afterwards.
    pub(crate) async fn measure(&self) -> Result<LoadReport> {
        let plan = bench_plan::scaled();
        let deployment = start(&plan, &self.routing).await?;
        let engine = Arc::clone(&deployment.engines()[0]);
        let trouble = self.trouble;
        let strike = tokio::spawn(async move { trouble.strike(&engine, WARM_UP).await });
        let arrivals = arrival_plan::draw(&self.arrivals());
        let driver = driver(&deployment, bench_plan::deadline());
        let queue = tokio::spawn(mean_queue(deployment.engines(), WARM_UP, self.span));
        let records = driver.open_loop(arrivals).await?;
        strike.await?;
        let costs = deployment.costs();
        let deadline = bench_plan::deadline();
        let mut report = LoadReport::new(&records, WARM_UP, self.span, deadline, &costs);
        report.engine_queue = queue.await?;
        for engine in deployment.engines() {
            let name = engine.options().name.clone();
            report.engine_answers.insert(name, engine.counts().ran());
        }
        deployment.stop().await;
        Ok(report)
    }

    fn arrivals(&self) -> ArrivalOptions {
        ArrivalOptions {
            seed: self.seed,
            rate: self.rate,
            span: WARM_UP + self.span,
            burst: self.burst,
            entries: ENTRIES,
            workspaces: self.workspaces.clone(),
            pipelines: bench_plan::pipelines(),
        }
    }
}

/// Answers a second that the deployment gives when it is never idle.
pub(crate) async fn capacity(seed: u64) -> Result<f64> {
    let mut plan = bench_plan::scaled();
    for pipeline in plan.configuration.pipelines.values_mut() {
        pipeline.deadline_ms = CALIBRATION_DEADLINE.as_millis() as u32;
    }
    let deployment = start(&plan, "least_outstanding").await?;
    let arrivals = arrival_plan::draw(&ArrivalOptions {
        seed,
        rate: CALIBRATION_RATE,
        span: CALIBRATION_SPAN,
        burst: 1.0,
        entries: ENTRIES,
        workspaces: bench_plan::workspaces(&plan),
        pipelines: bench_plan::pipelines(),
    });
    let driver = driver(&deployment, CALIBRATION_DEADLINE);
    let rate = driver
        .closed_loop(arrivals, CALIBRATION_CALLERS, WARM_UP, CALIBRATION_SPAN)
        .await?;
    deployment.stop().await;
    Ok(rate)
}

/// Requests that wait within all engines together, on average over `span`.
async fn mean_queue(engines: Vec<Arc<EndpointServer>>, wait: Duration, span: Duration) -> f64 {
    tokio::time::sleep(wait).await;
    let samples = (span.as_secs_f64() / SAMPLE_INTERVAL.as_secs_f64()) as u32;
    let mut total = 0;
    for _ in 0..samples {
        tokio::time::sleep(SAMPLE_INTERVAL).await;
        total += engines
            .iter()
            .map(|engine| engine.load().queued)
            .sum::<u32>();
    }
    f64::from(total) / f64::from(samples.max(1))
}

async fn start(plan: &DeploymentPlan, routing: &str) -> Result<BenchDeployment> {
    let host = DeploymentHost {
        entry: Handle::current(),
        standin: Handle::current(),
        routing: routing.to_string(),
        entries: ENTRIES,
    };
    BenchDeployment::start(plan, &host).await
}

fn driver(deployment: &BenchDeployment, deadline: Duration) -> LoadDriver {
    LoadDriver {
        caller: PipelineCaller::new(),
        entries: deployment.callers(),
        deadline,
    }
}
