use std::time::Duration;

use serde::Serialize;

use crate::engine_trouble::EngineTrouble;
use crate::load_report::LoadReport;
use crate::load_run::{self, LoadRun};
use crate::report_folder::ReportFolder;
use crate::{Result, bench_plan, processor_time};

/// The workspace that sends too much.
const GREEDY: &str = "mojo-branch";
const GREED: f64 = 10.0;
/// Load without the greed, as a share of the capacity.
const LOAD: f64 = 0.8;

/// What the others had without and with the greedy workspace.
#[derive(Clone, Debug, Serialize)]
struct FairnessReport {
    capacity: f64,
    seed: u64,
    machine_load: f64,
    fair: LoadReport,
    greedy: LoadReport,
    /// Attainment that the other workspaces lose, in points.
    others_lose: f64,
}

/// Measures, prints and writes the report.
pub(crate) async fn run(
    capacity: Option<f64>,
    span: Duration,
    seed: u64,
    folder: &ReportFolder,
) -> Result<()> {
    let capacity = match capacity {
        Some(given) => given,
        None => load_run::capacity(seed).await?,
    };
    let machine_load = processor_time::machine_load();
    let fair = measure(capacity, span, seed, 1.0).await?;
    let greedy = measure(capacity, span, seed, GREED).await?;
    let report = FairnessReport {
        capacity,
        seed,
        machine_load,
        others_lose: fair.attainment_without(GREEDY) - greedy.attainment_without(GREEDY),
        fair,
        greedy,
    };
    print(&report);
    folder.write_json("fairness.json", &report)
}

async fn measure(capacity: f64, span: Duration, seed: u64, greed: f64) -> Result<LoadReport> {
    let mut workspaces = bench_plan::workspaces(&bench_plan::scaled());
    let before: f64 = workspaces.iter().map(|workspace| workspace.weight).sum();
    for workspace in &mut workspaces {
        if workspace.name == GREEDY {
            workspace.weight *= greed;
        }
    }
    let after: f64 = workspaces.iter().map(|workspace| workspace.weight).sum();
    let run = LoadRun {
        seed,
        routing: "adaptive".into(),
        rate: capacity * LOAD * after / before,
        burst: 1.0,
        span,
        workspaces,
        trouble: EngineTrouble::None,
    };
    run.measure().await
}

fn print(report: &FairnessReport) {
    println!(
        "capacity {:.0} requests/s, seed {}, machine load average {:.1}",
        report.capacity, report.seed, report.machine_load
    );
    println!(
        "{:<18} {:>10} {:>14}",
        "workspace", "in share", "one at 10x"
    );
    for (workspace, share) in &report.fair.workspaces {
        let with = report.greedy.workspaces.get(workspace).copied();
        let mark = if workspace == GREEDY {
            " (sends 10x)"
        } else {
            ""
        };
        println!(
            "{workspace:<18} {share:>9.2}% {:>13.2}%{mark}",
            with.unwrap_or(f64::NAN)
        );
    }
    println!("the others lose {:.2} points", report.others_lose);
    println!(
        "goodput {:.1} -> {:.1} a second; waste {:.2}% -> {:.2}%; errors {:?}",
        report.fair.goodput,
        report.greedy.goodput,
        report.fair.wasted,
        report.greedy.wasted,
        report.greedy.errors
    );
}
