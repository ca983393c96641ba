use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use indicatif::{ProgressBar, ProgressStyle};
use savorywalk::configuration::ConfigurationSnapshot;
use savorywalk::entry::EntryDaemon;
use savorywalk::pipeline::PipelineAnswer;
use savorywalk::settings::{self, DaemonSettings};
use savorywalk::telemetry;
use savorywalk_standin::{
    AnnounceTarget, Deployment, DeploymentPlan, EndpointServer, start_announcer, token_for,
};

use crate::arguments::Demo;
use crate::demo_request::{DemoRequest, DemoResult, send};
use crate::{CommandError, Result};

const FREE_PORT: &str = "127.0.0.1:0";
const DEADLINE: Duration = Duration::from_secs(7);
const ANNOUNCEMENT_WAIT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// A progress bar is drawn only once the demo has taken this long.
const BAR_DELAY: Duration = Duration::from_secs(1);
const INPUT: &str = "Minibus stranded at kilometre 61 with nine passengers, smoke from the engine, dusk in one hour.";

/// A whole deployment in this process.
struct DemoDeployment {
    plan: DeploymentPlan,
    entry: EntryDaemon,
    _endpoints: Vec<Arc<EndpointServer>>,
}

/// Runs the demo.
pub(crate) async fn run(arguments: Demo) -> Result<()> {
    telemetry::init_logging("warn");
    let name = arguments.deployment.unwrap_or_else(|| "roadside".into());
    let deployment = Deployment::from_name(&name).ok_or(CommandError::Deployment(name))?;
    let demo = start(deployment).await?;
    let failures = send_all(&demo).await;
    if arguments.once {
        return match failures {
            0 => Ok(()),
            count => Err(CommandError::DemoFailed(count)),
        };
    }
    print_invitation(&demo);
    if let Err(error) = tokio::signal::ctrl_c().await {
        return Err(CommandError::Signals(error));
    }
    Ok(())
}

async fn start(deployment: Deployment) -> Result<DemoDeployment> {
    let plan = deployment.plan();
    let configuration = ConfigurationSnapshot::build(1, plan.configuration.clone())?;
    let entry = EntryDaemon::start(demo_settings(&plan)?, configuration).await?;
    let target = AnnounceTarget {
        entries: vec![entry.endpoints_address()],
        token: token_for("endpoint"),
        everywhere: true,
    };
    let mut endpoints = Vec::new();
    for planned in &plan.endpoints {
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Arc::new(EndpointServer::start(planned.options.clone(), address).await?);
        start_announcer(&server, target.clone());
        endpoints.push(server);
    }
    wait_for_endpoints(&entry, endpoints.len()).await;
    Ok(DemoDeployment {
        plan,
        entry,
        _endpoints: endpoints,
    })
}

fn demo_settings(plan: &DeploymentPlan) -> Result<DaemonSettings> {
    let text = format!(
        "[node]\nname = demo\ndata_center = {}\n[callers]\naddress = {FREE_PORT}\n\
         [operators]\naddress = {FREE_PORT}\n[endpoints]\naddress = {FREE_PORT}\n[entry]\n",
        plan.data_centers[0]
    );
    Ok(settings::parse(&text)?)
}

async fn wait_for_endpoints(entry: &EntryDaemon, count: usize) {
    let deadline = Instant::now() + ANNOUNCEMENT_WAIT;
    while entry.node().directory().snapshot().endpoints().count() < count {
        if Instant::now() > deadline {
            log::warn!("event=endpoints_missing wanted={count}");
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn send_all(demo: &DemoDeployment) -> usize {
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let workspaces: Vec<&String> = demo.plan.configuration.workspaces.keys().collect();
    let bar = progress_bar(demo.plan.pipelines.len());
    let started = Instant::now();
    let mut failures = 0;
    for (index, pipeline) in demo.plan.pipelines.iter().enumerate() {
        let token = token_for(workspaces[index % workspaces.len()]);
        let stages = &demo.plan.configuration.pipelines[pipeline].stages;
        let non_idempotent = stages.iter().any(|stage| stage.non_idempotent);
        let request = DemoRequest {
            pipeline,
            token: &token,
            input: INPUT,
            deadline: DEADLINE,
            streamed: index == 0,
            key: non_idempotent.then_some("demo-booking-1"),
        };
        let sent = Instant::now();
        let answer = send(&client, demo.entry.callers_address(), &request).await;
        let in_time = sent.elapsed() <= DEADLINE;
        if started.elapsed() > BAR_DELAY {
            bar.set_position(index as u64 + 1);
        }
        bar.suspend(|| failures += usize::from(!report(&request, answer, in_time)));
    }
    bar.finish_and_clear();
    print_costs(demo);
    failures
}

fn progress_bar(count: usize) -> ProgressBar {
    let bar = ProgressBar::new(count as u64);
    if let Ok(style) = ProgressStyle::with_template("{bar:32} {pos}/{len} pipelines, {elapsed}") {
        bar.set_style(style);
    }
    bar
}

/// Prints one answer; tells whether it was whole and in time.
fn report(request: &DemoRequest<'_>, answer: DemoResult, in_time: bool) -> bool {
    let pipeline = request.pipeline;
    match answer {
        Ok(answer) => {
            print_answer(request, &answer);
            if !in_time {
                println!(
                    "  LATE: past its deadline of {} ms",
                    request.deadline.as_millis()
                );
            }
            in_time
        }
        Err(error) => {
            println!("{pipeline}: FAILED: {error}\n");
            false
        }
    }
}

fn print_answer(request: &DemoRequest<'_>, answer: &PipelineAnswer) {
    let streamed = if request.streamed { ", streamed" } else { "" };
    let once = if request.key.is_some() {
        ", non-idempotent"
    } else {
        ""
    };
    println!(
        "{}: {:.1} ms{streamed}{once}",
        request.pipeline, answer.elapsed_ms
    );
    if !answer.answer.is_empty() {
        println!("  answer: {}", answer.answer.trim());
    }
    for (stage, value) in &answer.services {
        println!("  {stage}: {value}");
    }
    println!(
        "  {:<10} {:<24} {:>8} {:>9} {:>7} {:>7}",
        "stage", "endpoint", "attempts", "ms", "wasted", "tokens"
    );
    for stage in &answer.stages {
        println!(
            "  {:<10} {:<24} {:>8} {:>9.1} {:>7.1} {:>7}",
            stage.stage,
            stage.endpoint,
            stage.attempts,
            stage.elapsed_ms,
            stage.wasted_ms,
            stage.tokens
        );
    }
    println!();
}

fn print_costs(demo: &DemoDeployment) {
    println!("cost by stage:");
    println!(
        "  {:<16} {:<14} {:<10} {:>12} {:>10} {:>7}",
        "workspace", "pipeline", "stage", "endpoint s", "wasted s", "tokens"
    );
    for line in demo.entry.node().status().costs {
        println!(
            "  {:<16} {:<14} {:<10} {:>12.4} {:>10.4} {:>7}",
            line.key.workspace,
            line.key.pipeline,
            line.key.stage,
            line.entry.endpoint_seconds,
            line.entry.wasted_seconds,
            line.entry.tokens
        );
    }
}

fn print_invitation(demo: &DemoDeployment) {
    let Some(workspace) = demo.plan.configuration.workspaces.keys().next() else {
        return;
    };
    println!("\nStill serving; try it, and end it with Ctrl-C:\n");
    println!(
        "  curl -s http://{}/v1/pipelines/{} -H 'Authorization: Bearer {}' -d '{{\"input\": \"Where is the tow truck?\"}}'",
        demo.entry.callers_address(),
        demo.plan.pipelines[0],
        token_for(workspace),
    );
    println!(
        "  curl -s http://{}/v1/status -H 'Authorization: Bearer {}'\n",
        demo.entry.operators_address(),
        token_for("operator"),
    );
}
