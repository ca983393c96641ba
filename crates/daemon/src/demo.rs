use std::io::Write;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use savorywalk::telemetry;
use savorywalk_standin::{Deployment, token_for};

use crate::arguments::Demo;
use crate::demo_deployment::DemoDeployment;
use crate::demo_progress::DemoProgress;
use crate::demo_report::{write_costs, write_result};
use crate::demo_request::{DemoClient, DemoRequest, send};
use crate::report_writer::ReportWriter;
use crate::{CommandError, Result};

const DEADLINE: Duration = Duration::from_secs(7);
const INPUT: &str = "Minibus stranded at kilometre 61 with nine passengers, smoke from the engine, dusk in one hour.";

/// Runs the demo.
pub(crate) async fn run(arguments: Demo) -> Result<()> {
    telemetry::init_logging("warn");
    let name = arguments.deployment.unwrap_or_else(|| "roadside".into());
    let deployment = Deployment::from_name(&name).ok_or(CommandError::Deployment(name))?;
    let demo = DemoDeployment::start(deployment, arguments.fail_pool.as_deref()).await?;
    let mut report = ReportWriter::stdout();
    let failures = send_all(&demo, &mut report).await;
    write_costs(&mut report, &demo.entry.node().status().costs);
    if !arguments.once {
        write_invitation(&demo, &mut report);
        report.flush();
        tokio::signal::ctrl_c()
            .await
            .map_err(CommandError::Signals)?;
    }
    report.finish()?;
    match failures {
        0 => Ok(()),
        count => Err(CommandError::DemoFailed(count)),
    }
}

/// Sends a request through each pipeline; tells how many were not answered
/// whole and in time.
async fn send_all<W: Write>(demo: &DemoDeployment, report: &mut ReportWriter<W>) -> usize {
    let client: DemoClient = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let progress = DemoProgress::start(demo.plan.pipelines.len());
    let mut failures = 0;
    for index in 0..demo.plan.pipelines.len() {
        let token = workspace_token(demo, index);
        let request = request(demo, index, &token);
        let sent = Instant::now();
        let result = send(&client, demo.entry.callers_address(), &request).await;
        let in_time = sent.elapsed() <= DEADLINE;
        progress.advance(|| {
            failures += usize::from(!write_result(report, &request, &result, in_time));
            report.flush();
        });
    }
    failures
}

/// Token of a workspace, another one for each pipeline in turn.
fn workspace_token(demo: &DemoDeployment, index: usize) -> String {
    let names: Vec<&String> = demo.plan.configuration.workspaces.keys().collect();
    token_for(names[index % names.len()])
}

fn request<'a>(demo: &'a DemoDeployment, index: usize, token: &'a str) -> DemoRequest<'a> {
    let pipeline = &demo.plan.pipelines[index];
    let mut stages = demo.plan.configuration.pipelines[pipeline].stages.iter();
    let non_idempotent = stages.any(|stage| stage.non_idempotent);
    DemoRequest {
        pipeline,
        token,
        input: INPUT,
        deadline: DEADLINE,
        streamed: index == 0,
        key: non_idempotent.then_some("demo-booking-1"),
    }
}

fn write_invitation<W: Write>(demo: &DemoDeployment, report: &mut ReportWriter<W>) {
    let Some(workspace) = demo.plan.configuration.workspaces.keys().next() else {
        return;
    };
    report.line(format_args!(
        "\nStill serving; try it, and end it with Ctrl-C:\n"
    ));
    report.line(format_args!(
        "  curl -s http://{}/v1/pipelines/{} -H 'Authorization: Bearer {}' -d '{{\"input\": \"Where is the tow truck?\"}}'",
        demo.entry.callers_address(),
        demo.plan.pipelines[0],
        token_for(workspace),
    ));
    report.line(format_args!(
        "  curl -s http://{}/v1/status -H 'Authorization: Bearer {}'\n",
        demo.entry.operators_address(),
        token_for("operator"),
    ));
}
