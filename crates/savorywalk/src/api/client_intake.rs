use std::sync::{Mutex, PoisonError};

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};

use crate::http_bodies::BodyMemory;
use crate::prelude::*;
use crate::settings::DaemonLimits;
use crate::telemetry::FaultCounter;

/// Why a listener has closed a connection by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The heads that are arriving have no memory left.
    HeadMemory,
}

impl CloseReason {
    /// Name of the reason in logs and metrics.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::HeadMemory => "head_memory",
        }
    }
}

/// What the listeners of one daemon take of its memory, and count. See
/// docs/design/intake-limits.md.
#[derive(Clone, Debug)]
pub(crate) struct ClientIntake {
    /// Memory of the heads that are arriving.
    pub(super) heads: Arc<BodyMemory>,
    closed: Counter<u64>,
    closed_counter: Arc<Mutex<FaultCounter>>,
}

impl ClientIntake {
    pub(crate) fn new(limits: &DaemonLimits, meter: &Meter) -> Self {
        let heads = BodyMemory::new(limits.head_bytes);
        heads.register_metrics(meter, "savorywalk_head");
        Self {
            heads,
            closed: meter
                .u64_counter("savorywalk_connections_closed")
                .with_description("Connections that a listener closed, by its reason")
                .build(),
            closed_counter: Arc::default(),
        }
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
