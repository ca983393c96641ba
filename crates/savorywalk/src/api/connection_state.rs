use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering};

use crate::prelude::*;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionPhase {
    /// No byte of a request has arrived.
    Idle,
    /// A head is arriving.
    Head,
    /// A request is being read or answered.
    Call,
}

/// State of one connection, which its stream, its calls and its listener share.
#[derive(Debug)]
pub(super) struct ConnectionState {
    accepted: Instant,
    /// Milliseconds from the accept to the last change of the phase, or the last byte that was sent.
    since_ms: AtomicU64,
    /// Calls in progress.
    calls: AtomicU32,
    /// Bytes of the head that is arriving.
    head_bytes: AtomicUsize,
    has_called: AtomicBool,
    /// Whether calls share the connection, so that the bytes between them are no head.
    is_multiplexed: AtomicBool,
}

/// A call in progress; ends on drop.
#[derive(Debug)]
pub(super) struct CallGuard {
    state: Arc<ConnectionState>,
}

impl ConnectionState {
    pub(super) fn new(accepted: Instant) -> Arc<Self> {
        Arc::new(Self {
            accepted,
            since_ms: AtomicU64::default(),
            calls: AtomicU32::default(),
            head_bytes: AtomicUsize::default(),
            has_called: AtomicBool::default(),
            is_multiplexed: AtomicBool::default(),
        })
    }

    /// What the connection is doing.
    pub(super) fn phase(&self) -> ConnectionPhase {
        if self.calls.load(Ordering::Relaxed) > 0 {
            return ConnectionPhase::Call;
        }
        match self.head_bytes() {
            0 => ConnectionPhase::Idle,
            _ => ConnectionPhase::Head,
        }
    }

    /// Bytes of the head that is arriving.
    pub(super) fn head_bytes(&self) -> usize {
        self.head_bytes.load(Ordering::Relaxed)
    }

    /// Records bytes that were received. Between calls they belong to a head.
    pub(super) fn record_received(&self, bytes: usize, now: Instant) {
        if self.phase() == ConnectionPhase::Call || self.is_multiplexed.load(Ordering::Relaxed) {
            return;
        }
        if self.head_bytes.fetch_add(bytes, Ordering::Relaxed) == 0 {
            self.set_since(now);
        }
    }

    /// Records that bytes were sent: the end of an answer may be sent after its call.
    pub(super) fn record_sent(&self, now: Instant) {
        if self.phase() == ConnectionPhase::Idle {
            self.set_since(now);
        }
    }

    /// Begins a call, whose head has arrived.
    pub(super) fn begin_call(self: &Arc<Self>, is_multiplexed: bool) -> CallGuard {
        self.is_multiplexed.store(is_multiplexed, Ordering::Relaxed);
        self.has_called.store(true, Ordering::Relaxed);
        self.calls.fetch_add(1, Ordering::Relaxed);
        self.head_bytes.store(0, Ordering::Relaxed);
        CallGuard {
            state: Arc::clone(self),
        }
    }

    fn set_since(&self, now: Instant) {
        let since = now.saturating_duration_since(self.accepted);
        self.since_ms
            .store(since.as_millis() as u64, Ordering::Relaxed);
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.state.set_since(Instant::now());
        self.state.calls.fetch_sub(1, Ordering::Relaxed);
    }
}

#[cfg(test)]
#[path = "connection_state_tests.rs"]
mod tests;
