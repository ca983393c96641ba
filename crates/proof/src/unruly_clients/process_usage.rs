use std::fs;

/// Memory and descriptors that a process uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Largest resident set so far, in bytes.
    pub peak_memory: u64,
    /// Resident set, in bytes.
    pub memory: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

impl ProcessUsage {
    /// Reads the usage of the process `id`; `None` if it does not run.
    pub fn read(id: u32) -> Option<Self> {
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        Some(Self {
            peak_memory: kilobytes(&status, "VmHWM:")? << 10,
            memory: kilobytes(&status, "VmRSS:")? << 10,
            descriptors: fs::read_dir(format!("/proc/{id}/fd")).ok()?.count(),
        })
    }
}

fn kilobytes(status: &str, key: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(key))?;
    line.trim().strip_suffix(" kB")?.parse().ok()
}
