use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicU32, Ordering};

/// Runs of this process so far.
static RUNS: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address for all processes and stand-ins of one run.
///
/// Ports are freed and taken again during a run. With one address for all, an entry of one run
/// could reach the stand-ins of another one on the same machine, and its requests counted there.
pub(crate) fn next() -> Ipv4Addr {
    let run = RUNS.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 128 | (high >> 1), low, 1 + (run % 250) as u8)
}

/// Networks of this process so far.
static NETWORKS: AtomicU32 = AtomicU32::new(0);

/// Networks that a process has before it gets them again: more than the plays of one test program.
const NETWORKS_PER_PROCESS: u32 = 32;

/// Returns a loopback network of 256 addresses for the processes of one run, each at an address of its
/// own. Runs of one process, and of others with near ids, have different ones.
pub(crate) fn next_network() -> Ipv4Addr {
    let run = NETWORKS.fetch_add(1, Ordering::Relaxed) % NETWORKS_PER_PROCESS;
    let number = std::process::id().wrapping_mul(NETWORKS_PER_PROCESS) + run;
    let [_, _, high, low] = number.to_be_bytes();
    Ipv4Addr::new(127, 64 | (high & 0x3f), low, 0)
}

#[cfg(test)]
#[path = "run_address_tests.rs"]
mod tests;
