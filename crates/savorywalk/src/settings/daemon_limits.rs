use super::DaemonSettings;
use super::system_limits::SystemLimits;

/// Most pieces of one request where none are named.
const DEFAULT_PIECES: u32 = 1_024;

/// Part of the memory that requests may hold, as a divisor.
const REQUEST_PART: u64 = 5;

/// Memory for each connection, in bytes: four times the cost of an idle one.
const CONNECTION_MEMORY: u64 = 64 << 10;

/// Most connections of clients, whatever the VM has.
const MAX_CONNECTIONS: u32 = 3_000;

/// Connections of one port for probes or metrics, whatever the VM has, and the part of the descriptors
/// that they are otherwise, as a divisor.
const MAX_PROBE_CONNECTIONS: u32 = 256;
const PROBE_PART: u32 = 16;

/// Connections of one listener that may wait for their refusal at once; the part of the descriptors
/// that they are otherwise, as a divisor.
const MAX_REFUSAL_CONNECTIONS: u32 = 64;
const REFUSAL_PART: u32 = 64;

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
    /// Connections of each port for probes or metrics alone.
    pub probe_connections: u32,
    /// Connections of each listener that wait for their refusal, beside those that it serves.
    pub refusal_connections: u32,
    /// Pieces of all stages of one request.
    pub pieces: u32,
}

impl DaemonLimits {
    /// Bounds that follow from settings, and from the system where they name none.
    pub fn new(settings: &DaemonSettings) -> Self {
        Self::on(SystemLimits::read(), settings)
    }

    fn on(system: SystemLimits, settings: &DaemonSettings) -> Self {
        let limits = settings.limits.unwrap_or_default();
        let memory = u64::from(named(limits.memory_mb, system.memory_mb)) << 20;
        let descriptors = named(limits.descriptors, system.descriptors);
        let by_memory = u32::try_from(memory / CONNECTION_MEMORY).unwrap_or(u32::MAX);
        let connections = (descriptors / 8 * 5).min(by_memory);
        let bytes = |bytes| usize::try_from(bytes).unwrap_or(usize::MAX);
        Self {
            request_bytes: bytes(named(limits.request_bytes, memory / REQUEST_PART)),
            head_bytes: bytes(named(limits.head_bytes, memory / HEAD_PART)),
            connections: named(limits.connections, connections.clamp(1, MAX_CONNECTIONS)),
            probe_connections: named(
                limits.probe_connections,
                (descriptors / PROBE_PART).clamp(1, MAX_PROBE_CONNECTIONS),
            ),
            refusal_connections: (descriptors / REFUSAL_PART).clamp(1, MAX_REFUSAL_CONNECTIONS),
            pieces: named(limits.pieces, DEFAULT_PIECES),
        }
    }
}

/// The value that settings name, or the default in place of 0.
fn named<T: Default + PartialEq>(given: T, default: T) -> T {
    match given == T::default() {
        true => default,
        false => given,
    }
}

#[cfg(test)]
#[path = "daemon_limits_tests.rs"]
mod tests;
