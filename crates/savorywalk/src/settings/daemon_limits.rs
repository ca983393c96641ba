use opentelemetry::KeyValue;
use opentelemetry::metrics::Meter;

use super::DaemonSettings;
use super::system_limits::SystemLimits;

/// Bounds on one head where the settings name none.
const DEFAULT_PIECES: u32 = 1_024;
const DEFAULT_IDENTITY_BYTES: u32 = 256;
const DEFAULT_PROMPT_PARTS: u32 = 256;
const DEFAULT_TOKENS: u32 = u32::MAX;

/// Bounds on one call of a registry where the settings name none, in bytes.
const DEFAULT_DOCUMENT_BYTES: u32 = 8 << 20;
const DEFAULT_CALL_BYTES: u32 = 64 << 10;
const DEFAULT_TEXT_BYTES: u32 = 256;

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
    /// What the head of one request may name.
    pub head: HeadLimits,
    /// What one call at a registry may have.
    pub call: CallLimits,
}

/// Bounds on what the head of one request at a gateway may name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadLimits {
    /// Pieces of all stages.
    pub pieces: u32,
    /// Bytes of the identity.
    pub identity_bytes: u32,
    /// Parts of the prompt.
    pub prompt_parts: u32,
    /// Tokens of a part, of the prompt and of the answer.
    pub tokens: u32,
}

/// Bounds on one call at a registry, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// A document.
    pub document_bytes: u32,
    /// The body of any other call.
    pub call_bytes: u32,
    /// A text of an announcement, which is kept for each endpoint.
    pub text_bytes: u32,
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
            head: HeadLimits {
                pieces: named(limits.pieces, DEFAULT_PIECES),
                identity_bytes: named(limits.identity_bytes, DEFAULT_IDENTITY_BYTES),
                prompt_parts: named(limits.prompt_parts, DEFAULT_PROMPT_PARTS),
                tokens: named(limits.tokens, DEFAULT_TOKENS),
            },
            call: CallLimits {
                document_bytes: named(limits.document_bytes, DEFAULT_DOCUMENT_BYTES),
                call_bytes: named(limits.call_bytes, DEFAULT_CALL_BYTES),
                text_bytes: named(limits.text_bytes, DEFAULT_TEXT_BYTES),
            },
        }
    }

    /// Registers a gauge of each bound, so that what is held can be compared with it.
    pub(crate) fn register_metrics(self, meter: &Meter) {
        meter
            .u64_observable_gauge("savorywalk_limit")
            .with_description("Bounds on what clients may take, by the name of their setting")
            .with_callback(move |gauge| {
                for (name, value) in self.by_name() {
                    gauge.observe(value, &[KeyValue::new("limit", name)]);
                }
            })
            .build();
    }

    fn by_name(self) -> [(&'static str, u64); 11] {
        let HeadLimits {
            pieces,
            identity_bytes,
            prompt_parts,
            tokens,
        } = self.head;
        let CallLimits {
            document_bytes,
            call_bytes,
            text_bytes,
        } = self.call;
        [
            ("request_bytes", self.request_bytes as u64),
            ("head_bytes", self.head_bytes as u64),
            ("connections", self.connections.into()),
            ("probe_connections", self.probe_connections.into()),
            ("pieces", pieces.into()),
            ("identity_bytes", identity_bytes.into()),
            ("prompt_parts", prompt_parts.into()),
            ("tokens", tokens.into()),
            ("document_bytes", document_bytes.into()),
            ("call_bytes", call_bytes.into()),
            ("text_bytes", text_bytes.into()),
        ]
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
