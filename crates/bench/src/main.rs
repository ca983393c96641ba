//! Load driver: what savorywalk adds to a request, and what it makes of load
//! and faults beside simpler routing. See docs/design/measuring.md.

mod arguments;
mod arrival_plan;
mod attainment_bench;
mod attainment_plot;
mod bare_forwarder;
mod bench_deployment;
mod bench_error;
mod bench_plan;
mod bench_runtimes;
mod decision_log;
mod engine_trouble;
mod fairness_bench;
mod link_bench;
mod load_driver;
mod load_report;
mod load_run;
mod overhead_bench;
mod pipeline_caller;
mod processor_time;
mod report_folder;
mod text_source;
mod usage_exchange;

use std::process::ExitCode;
use std::time::Duration;

use arguments::{Attainment, Decisions, Fairness, Overhead, SavorywalkBench, SavorywalkBenchCmd};
use attainment_bench::AttainmentOptions;
use bench_error::BenchError;
use decision_log::DecisionLog;
use engine_trouble::EngineTrouble;
use report_folder::ReportFolder;

/// Result of this program's fallible calls.
type Result<T> = std::result::Result<T, BenchError>;

const DEFAULT_SEED: u64 = 1;
const DEFAULT_LOADS: &str = "50,80,95,120,200";
const DEFAULT_ROUTINGS: &str = "adaptive,round_robin,least_outstanding";
const DEFAULT_FAULTS: &str = "none";
const OVERHEAD_SECONDS: f64 = 3.0;
/// Some four calls to a stage endpoint, so that each window has enough of them.
const WINDOW_SECONDS: f64 = 2.0;
/// Long enough that a fifth too much load outgrows the deadline.
const RUN_SECONDS: f64 = 6.0;

fn main() -> ExitCode {
    savorywalk::telemetry::init_logging("error");
    let ended = match SavorywalkBench::from_env_or_exit().subcommand {
        SavorywalkBenchCmd::Overhead(arguments) => overhead(arguments),
        SavorywalkBenchCmd::Attainment(arguments) => attainment(&arguments),
        SavorywalkBenchCmd::Fairness(arguments) => fairness(arguments),
        SavorywalkBenchCmd::Decisions(arguments) => decisions(&arguments),
        SavorywalkBenchCmd::Links(arguments) => link_bench::run(arguments.seconds),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

fn overhead(arguments: Overhead) -> Result<()> {
    let folder = ReportFolder::new(arguments.out)?;
    let seconds = arguments.seconds.unwrap_or(OVERHEAD_SECONDS);
    overhead_bench::run(seconds, arguments.seed.unwrap_or(DEFAULT_SEED), &folder)
}

fn attainment(arguments: &Attainment) -> Result<()> {
    let folder = ReportFolder::new(arguments.out.clone())?;
    let loads = arguments.loads.as_deref().unwrap_or(DEFAULT_LOADS);
    let routings = arguments.routing.as_deref().unwrap_or(DEFAULT_ROUTINGS);
    let faults = arguments.faults.as_deref().unwrap_or(DEFAULT_FAULTS);
    let options = AttainmentOptions {
        loads: listed(loads, |load| {
            let number = load.parse();
            number.map_err(|_| BenchError::Argument(format!("{load:?} is no load in percent")))
        })?,
        routings: listed(routings, |routing| Ok(routing.to_string()))?,
        troubles: listed(faults, EngineTrouble::from_name)?,
        capacity: arguments.capacity,
        burst: arguments.burst.unwrap_or(1.0),
        span: Duration::from_secs_f64(arguments.seconds.unwrap_or(RUN_SECONDS)),
        seed: arguments.seed.unwrap_or(DEFAULT_SEED),
    };
    runtime()?.block_on(attainment_bench::run(&options, &folder))
}

fn fairness(arguments: Fairness) -> Result<()> {
    let folder = ReportFolder::new(arguments.out)?;
    let span = Duration::from_secs_f64(arguments.seconds.unwrap_or(RUN_SECONDS));
    let seed = arguments.seed.unwrap_or(DEFAULT_SEED);
    runtime()?.block_on(fairness_bench::run(arguments.capacity, span, seed, &folder))
}

fn listed<T>(text: &str, read: impl Fn(&str) -> Result<T>) -> Result<Vec<T>> {
    let words = text.split(',').map(str::trim);
    words.filter(|word| !word.is_empty()).map(read).collect()
}

fn runtime() -> Result<tokio::runtime::Runtime> {
    tokio::runtime::Runtime::new().map_err(BenchError::Runtime)
}

fn decisions(arguments: &Decisions) -> Result<()> {
    let window_seconds = arguments.window.unwrap_or(WINDOW_SECONDS);
    if !window_seconds.is_finite() || window_seconds <= 0.0 {
        let problem = format!("--window {window_seconds}: name seconds above 0");
        return Err(BenchError::Argument(problem));
    }
    let mut decision_log = DecisionLog::new(window_seconds);
    for file in &arguments.file {
        let log = std::fs::read_to_string(file).map_err(|error| BenchError::Log {
            path: file.clone(),
            error,
        })?;
        let name = file.file_name().unwrap_or(file.as_os_str());
        decision_log.read(&name.to_string_lossy(), &log);
    }
    print!("{decision_log}");
    Ok(())
}
