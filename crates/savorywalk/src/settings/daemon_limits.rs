use super::{DaemonSettings, LimitSettings};

/// Memory of a VM that names none, in MiB.
const DEFAULT_MEMORY_MB: u32 = 256;

/// Part of the memory that requests may hold, as a divisor.
const REQUEST_PART: u64 = 8;

/// Part of the memory that arriving heads may hold, as a divisor.
const HEAD_PART: u64 = 16;

/// What all clients together may take of a daemon. See docs/design/intake-limits.md.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DaemonLimits {
    /// Bytes of requests held at once, over all connections.
    pub request_bytes: usize,
    /// Bytes of read buffers with the heads that are arriving, over all connections.
    pub head_bytes: usize,
}

impl DaemonLimits {
    /// Bounds that follow from settings.
    pub fn new(settings: &DaemonSettings) -> Self {
        let limits = settings.limits.unwrap_or_default();
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
        let head_bytes = match limits.head_bytes {
            0 => memory / HEAD_PART,
            given => given,
        };
        let bytes = |bytes| usize::try_from(bytes).unwrap_or(usize::MAX);
        Self {
            request_bytes: bytes(request_bytes),
            head_bytes: bytes(head_bytes),
        }
    }
}

#[cfg(test)]
#[path = "daemon_limits_tests.rs"]
mod tests;
