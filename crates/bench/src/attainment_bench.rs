use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use crate::engine_trouble::EngineTrouble;
use crate::load_report::LoadReport;
use crate::load_run::{self, LoadRun};
use crate::report_folder::ReportFolder;
use crate::{Result, attainment_plot, bench_plan, processor_time};

const PERCENT: f64 = 100.0;

/// Which runs an attainment bench makes.
#[derive(Clone, Debug)]
pub(crate) struct AttainmentOptions {
    pub(crate) loads: Vec<u32>,
    pub(crate) routings: Vec<String>,
    pub(crate) troubles: Vec<EngineTrouble>,
    pub(crate) capacity: Option<f64>,
    pub(crate) burst: f64,
    pub(crate) span: Duration,
    pub(crate) seed: u64,
}

/// One run of the matrix.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct AttainmentLine {
    pub(crate) routing: String,
    /// Load in percent of the capacity.
    pub(crate) load: u32,
    pub(crate) trouble: EngineTrouble,
    /// Load average of the machine when the run began.
    pub(crate) machine_load: f64,
    pub(crate) report: LoadReport,
}

/// The whole matrix.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct AttainmentReport {
    /// Answers a second when never idle.
    pub(crate) capacity: f64,
    pub(crate) seed: u64,
    pub(crate) lines: Vec<AttainmentLine>,
}

/// Measures, prints each line as it comes, and writes report and plots.
pub(crate) async fn run(options: &AttainmentOptions, folder: &ReportFolder) -> Result<()> {
    let capacity = match options.capacity {
        Some(given) => given,
        None => load_run::capacity(options.seed).await?,
    };
    println!("capacity {capacity:.0} requests/s, seed {}", options.seed);
    print_head();
    let mut report = AttainmentReport {
        capacity,
        seed: options.seed,
        lines: Vec::new(),
    };
    for trouble in &options.troubles {
        for load in &options.loads {
            for routing in &options.routings {
                let line = measure(options, capacity, *trouble, *load, routing).await?;
                print_line(&line);
                report.lines.push(line);
            }
        }
    }
    folder.write_json("attainment.json", &report)?;
    attainment_plot::write(&report, folder)
}

async fn measure(
    options: &AttainmentOptions,
    capacity: f64,
    trouble: EngineTrouble,
    load: u32,
    routing: &str,
) -> Result<AttainmentLine> {
    let run = LoadRun {
        seed: options.seed,
        routing: routing.to_string(),
        rate: capacity * f64::from(load) / PERCENT,
        burst: options.burst,
        span: options.span,
        workspaces: bench_plan::workspaces(&bench_plan::scaled()),
        trouble,
    };
    let machine_load = processor_time::machine_load();
    Ok(AttainmentLine {
        routing: routing.to_string(),
        load,
        trouble,
        machine_load,
        report: run.measure().await?,
    })
}

fn print_head() {
    println!(
        "{:<19} {:>5} {:<18} {:>6} {:>8} {:>8} {:>8} {:>6} {:>5} {:>5} {:>6}  errors; endpoint s by stage",
        "routing",
        "load",
        "fault",
        "attain",
        "goodput",
        "p50 ms",
        "p99 ms",
        "waste",
        "late",
        "imbal",
        "queue"
    );
}

fn print_line(line: &AttainmentLine) {
    let report = &line.report;
    println!(
        "{:<19} {:>4}% {:<18} {:>6.2} {:>8.1} {:>8.1} {:>8.1} {:>6.2} {:>5} {:>5.2} {:>6.1}  {}; {}",
        line.routing,
        line.load,
        line.trouble.name(),
        report.attainment,
        report.goodput,
        report.p50_ms,
        report.p99_ms,
        report.wasted,
        report.late,
        report.imbalance(),
        report.engine_queue,
        listed(&report.errors, |count| count.to_string()),
        listed(&report.stage_seconds, |seconds| format!("{seconds:.1}")),
    );
}

fn listed<V>(values: &BTreeMap<String, V>, shown: impl Fn(&V) -> String) -> String {
    let words = values
        .iter()
        .map(|(name, value)| format!("{name} {}", shown(value)));
    words.collect::<Vec<_>>().join(", ")
}
