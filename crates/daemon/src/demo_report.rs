use std::io::Write;

use savorywalk::cost::CostLine;
use savorywalk::pipeline::PipelineAnswer;

use crate::demo_request::{DemoRequest, DemoResult};
use crate::report_writer::ReportWriter;

/// Writes one answer; tells whether it was whole and in time.
pub(crate) fn write_result<W: Write>(
    report: &mut ReportWriter<W>,
    request: &DemoRequest<'_>,
    result: &DemoResult,
    in_time: bool,
) -> bool {
    match result {
        Ok(answer) => {
            write_answer(report, request, answer, in_time);
            in_time
        }
        Err(error) => {
            report.line(format_args!("{}: FAILED: {error}\n", request.pipeline));
            false
        }
    }
}

fn write_answer<W: Write>(
    report: &mut ReportWriter<W>,
    request: &DemoRequest<'_>,
    answer: &PipelineAnswer,
    in_time: bool,
) {
    let streamed = if request.streamed { ", streamed" } else { "" };
    let once = request.key.map_or("", |_| ", non-idempotent");
    let pipeline = request.pipeline;
    let elapsed = answer.elapsed_ms;
    report.line(format_args!("{pipeline}: {elapsed:.1} ms{streamed}{once}"));
    if !in_time {
        let deadline = request.deadline.as_millis();
        report.line(format_args!("  LATE: past its deadline of {deadline} ms"));
    }
    if !answer.answer.is_empty() {
        report.line(format_args!("  answer: {}", answer.answer.trim()));
    }
    for (stage, value) in &answer.services {
        report.line(format_args!("  {stage}: {value}"));
    }
    write_stages(report, answer);
    report.line(format_args!(""));
}

fn write_stages<W: Write>(report: &mut ReportWriter<W>, answer: &PipelineAnswer) {
    report.line(format_args!(
        "  {:<10} {:<24} {:>8} {:>9} {:>9} {:>7}",
        "stage", "endpoint", "attempts", "ms", "wasted ms", "tokens"
    ));
    for stage in &answer.stages {
        report.line(format_args!(
            "  {:<10} {:<24} {:>8} {:>9.1} {:>9.1} {:>7}",
            stage.stage,
            stage.endpoint,
            stage.attempts,
            stage.elapsed_ms,
            stage.wasted_ms,
            stage.tokens
        ));
    }
}

/// Writes cost by stage.
pub(crate) fn write_costs<W: Write>(report: &mut ReportWriter<W>, costs: &[CostLine]) {
    report.line(format_args!("cost by stage:"));
    report.line(format_args!(
        "  {:<16} {:<14} {:<10} {:>12} {:>10} {:>7}",
        "workspace", "pipeline", "stage", "endpoint s", "wasted s", "tokens"
    ));
    for cost in costs {
        report.line(format_args!(
            "  {:<16} {:<14} {:<10} {:>12.4} {:>10.4} {:>7}",
            cost.key.workspace,
            cost.key.pipeline,
            cost.key.stage,
            cost.entry.endpoint_seconds,
            cost.entry.wasted_seconds,
            cost.entry.tokens
        ));
    }
}
