use std::sync::{Mutex, PoisonError};

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter, UpDownCounter};

use crate::http_bodies::BodyMemory;
use crate::prelude::*;
use crate::settings::DaemonLimits;
use crate::telemetry::FaultCounter;

/// Why a listener has closed a connection by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The heads that are arriving have no memory left.
    HeadMemory,
    /// A head has not ended in time.
    LateHead,
    /// A TLS handshake has not ended in time.
    LateHandshake,
    /// No request has come in time.
    Idle,
    /// A new connection needed the place.
    Yielded,
    /// All places were taken, so the connection got a refusal.
    Refused,
    /// As many connections as may were waiting for their refusals.
    Dropped,
}

impl CloseReason {
    /// Name of the reason in logs and metrics.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::HeadMemory => "head_memory",
            Self::LateHead => "late_head",
            Self::LateHandshake => "late_handshake",
            Self::Idle => "idle",
            Self::Yielded => "yielded",
            Self::Refused => "refused",
            Self::Dropped => "dropped",
        }
    }
}

/// What the listeners of one daemon take of its memory, and count. See
/// docs/design/intake-limits.md.
#[derive(Clone, Debug)]
pub(crate) struct ClientIntake {
    /// Memory of the heads that are arriving.
    pub(super) heads: Arc<BodyMemory>,
    /// Connections over the limit of a listener that still get a typed refusal; further ones are closed
    /// without one.
    pub(super) refusal_connections: usize,
    open: UpDownCounter<i64>,
    closed: Counter<u64>,
    closed_counter: Arc<Mutex<FaultCounter>>,
}

/// Counts an open connection; ends on drop.
#[derive(Debug)]
pub(super) struct OpenCount(UpDownCounter<i64>);

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.add(-1, &[]);
    }
}

impl ClientIntake {
    pub(crate) fn new(limits: &DaemonLimits, meter: &Meter) -> Self {
        let heads = BodyMemory::new(limits.head_bytes);
        heads.register_metrics(meter, "savorywalk_head");
        limits.register_metrics(meter);
        Self {
            heads,
            refusal_connections: limits.refusal_connections as usize,
            open: meter
                .i64_up_down_counter("savorywalk_connections")
                .with_description("Connections of clients that are open")
                .build(),
            closed: meter
                .u64_counter("savorywalk_connections_closed")
                .with_description("Connections that a listener closed, by its reason")
                .build(),
            closed_counter: Arc::default(),
        }
    }

    /// Counts a connection that is open until the returned guard is dropped.
    pub(super) fn count_open(&self) -> OpenCount {
        self.open.add(1, &[]);
        OpenCount(self.open.clone())
    }

    /// Counts a connection that a listener has closed. Clients may cause any number of these, so few
    /// are logged.
    pub(super) fn record_closed(&self, reason: CloseReason) {
        let name = reason.name();
        self.closed.add(1, &[KeyValue::new("reason", name)]);
        let mut counter = self
            .closed_counter
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(total) = counter.count(Instant::now(), name) {
            log_event!(info, "connections_closed", reason = name, total = total);
        }
    }
}
