use std::fs;
use std::path::Path;
use std::time::Duration;

const TASKS: &str = "/proc/self/task";

/// Processor time of this process's threads whose name starts with `name`, as
/// the kernel's scheduler counts it.
pub(crate) fn of_threads(name: &str) -> Duration {
    let Ok(tasks) = fs::read_dir(TASKS) else {
        return Duration::ZERO;
    };
    let tasks = tasks.flatten().map(|task| task.path());
    tasks
        .filter(|task| is_named(task, name))
        .filter_map(|task| on_processor(&task))
        .sum()
}

fn is_named(task: &Path, name: &str) -> bool {
    let comm = fs::read_to_string(task.join("comm")).unwrap_or_default();
    comm.trim_end().starts_with(name)
}

/// The first number of `schedstat` is the time on a processor, in nanoseconds.
fn on_processor(task: &Path) -> Option<Duration> {
    let line = fs::read_to_string(task.join("schedstat")).ok()?;
    let nanos = line.split_whitespace().next()?.parse().ok()?;
    Some(Duration::from_nanos(nanos))
}

/// Load average of the machine over the last minute.
pub(crate) fn machine_load() -> f64 {
    let line = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = line.split_whitespace().next();
    first.and_then(|load| load.parse().ok()).unwrap_or(f64::NAN)
}
