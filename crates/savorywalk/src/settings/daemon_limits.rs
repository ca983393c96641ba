use super::{DaemonSettings, LimitSettings};

/// Memory of a VM that names none, in MiB.
const DEFAULT_MEMORY_MB: u32 = 256;

/// Descriptors of a VM that names none.
const DEFAULT_DESCRIPTORS: u32 = 4_096;

/// Most pieces of one request where none are named.
const DEFAULT_PIECES: u32 = 1_024;

/// Part of the memory that requests may hold, as a divisor.
const REQUEST_PART: u64 = 5;

/// Memory for each connection, in bytes: four times the cost of an idle one.
const CONNECTION_MEMORY: u64 = 64 << 10;

/// Most connections of clients, whatever the VM has.
const MAX_CONNECTIONS: u32 = 3_000;

/// Part of the memory that arriving heads may hold, as a divisor.
const HEAD_PART: u64 = 16;

/// What all clients together may take of a daemon. See docs/design/intake-limits.md.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DaemonLimits {
    /// Bytes of requests held at once, over all connections.
    pub request_bytes: usize,
    /// Bytes of read buffers with the heads that are arriving, over all connections.
    pub head_bytes: usize,
    /// Connections of clients, beside those for probes and metrics.
    pub connections: u32,
    /// Pieces of all stages of one request.
    pub pieces: u32,
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
        let descriptors = match limits.descriptors {
            0 => DEFAULT_DESCRIPTORS,
            given => given,
        };
        let connections = match limits.connections {
            0 => (descriptors / 8 * 5)
                .min(u32::try_from(memory / CONNECTION_MEMORY).unwrap_or(u32::MAX))
                .clamp(1, MAX_CONNECTIONS),
            given => given,
        };
        let pieces = match limits.pieces {
            0 => DEFAULT_PIECES,
            given => given,
        };
        Self {
            connections,
            pieces,
            request_bytes: bytes(request_bytes),
            head_bytes: bytes(head_bytes),
        }
    }
}

#[cfg(test)]
#[path = "daemon_limits_tests.rs"]
mod tests;
