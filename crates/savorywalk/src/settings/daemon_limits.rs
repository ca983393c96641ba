use super::{DaemonSettings, LimitSettings};

/// Memory of a VM that names none, in MiB.
const DEFAULT_MEMORY_MB: u32 = 256;

/// Part of the memory that requests may hold, as a divisor.
const REQUEST_PART: u64 = 8;

/// What all clients together may take of a daemon. See docs/design/intake-limits.md.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DaemonLimits {
    /// Bytes of requests held at once, over all connections.
    pub request_bytes: usize,
}

impl DaemonLimits {
    /// Bounds that follow from settings.
    pub fn new(settings: &DaemonSettings) -> Self {
        let limits = settings.limits.clone().unwrap_or_default();
        let LimitSettings { memory_mb, .. } = limits;
        let memory_mb = match memory_mb {
            0 => DEFAULT_MEMORY_MB,
            given => given,
        };
        let memory = u64::from(memory_mb) << 20;
        let request_bytes = match limits.request_bytes {
            0 => memory / REQUEST_PART,
            given => given,
        };
        Self {
            request_bytes: usize::try_from(request_bytes).unwrap_or(usize::MAX),
        }
    }
}

#[cfg(test)]
#[path = "daemon_limits_tests.rs"]
mod tests;
