use tokio::runtime::{Builder, Runtime};

use crate::{BenchError, Result};

/// Name of the entries' threads; processor time is counted by it.
pub(crate) const ENTRY_THREADS: &str = "entry";
/// Name of the bare forwarding loop's threads.
pub(crate) const FORWARD_THREADS: &str = "forward";
const STANDIN_THREADS: &str = "standin";
const DRIVER_THREADS: &str = "driver";
const WORKERS: usize = 2;

/// A runtime for each party, so that the processor time of each is its threads'.
#[derive(Debug)]
pub(crate) struct BenchRuntimes {
    pub(crate) entry: Runtime,
    pub(crate) forward: Runtime,
    pub(crate) standin: Runtime,
    pub(crate) driver: Runtime,
}

impl BenchRuntimes {
    pub(crate) fn start() -> Result<Self> {
        Ok(Self {
            entry: runtime(ENTRY_THREADS)?,
            forward: runtime(FORWARD_THREADS)?,
            standin: runtime(STANDIN_THREADS)?,
            driver: runtime(DRIVER_THREADS)?,
        })
    }
}

fn runtime(name: &str) -> Result<Runtime> {
    let mut builder = Builder::new_multi_thread();
    let builder = builder.thread_name(name).worker_threads(WORKERS);
    builder.enable_all().build().map_err(BenchError::Runtime)
}
