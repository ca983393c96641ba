use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering};

use std::sync::{Mutex, PoisonError};

use tokio::sync::OwnedSemaphorePermit;
use tokio_util::sync::CancellationToken;

use super::client_intake::CloseReason;
use super::http_handler::ConnectionLimits;
use crate::http_bodies::STALL_TIME;
use crate::prelude::*;

/// Time after a call before its connection yields its place: the caller may be sending the next
/// request.
pub(super) const MIN_IDLE_TIME: Duration = Duration::from_secs(1);

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
    /// Bodies of calls that have not ended.
    bodies: AtomicU32,
    /// Milliseconds from the accept to the last byte of a body.
    body_ms: AtomicU64,
    /// Bytes of the head that is arriving.
    head_bytes: AtomicUsize,
    has_called: AtomicBool,
    /// Whether calls share the connection, so that the bytes between them are no head.
    is_multiplexed: AtomicBool,
    /// Whether a part of the body of the last request may still come.
    has_body_left: AtomicBool,
    /// The place of the connection until it yields it.
    place: Mutex<Option<OwnedSemaphorePermit>>,
    yielded: CancellationToken,
}

/// Order in which connections yield their places, the first one first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum YieldOrder {
    /// It was accepted then and has never had a request.
    NeverCalled(Instant),
    /// It has waited for a request since then.
    Waiting(Instant),
    /// The bodies of all its requests have stopped then.
    Stalled(Instant),
}

/// A call in progress; ends on drop.
#[derive(Debug)]
pub(super) struct CallGuard {
    state: Arc<ConnectionState>,
}

/// A body that is arriving; on drop it has ended, or is not wanted any more.
#[derive(Debug)]
pub(super) struct BodyArrival {
    state: Arc<ConnectionState>,
}

impl ConnectionState {
    pub(super) fn new(accepted: Instant, place: OwnedSemaphorePermit) -> Arc<Self> {
        Arc::new(Self {
            accepted,
            since_ms: AtomicU64::default(),
            calls: AtomicU32::default(),
            bodies: AtomicU32::default(),
            body_ms: AtomicU64::default(),
            head_bytes: AtomicUsize::default(),
            has_called: AtomicBool::default(),
            is_multiplexed: AtomicBool::default(),
            has_body_left: AtomicBool::default(),
            place: Mutex::new(Some(place)),
            yielded: CancellationToken::new(),
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

    /// Begins to receive the body of a call.
    pub(super) fn begin_body(self: &Arc<Self>, now: Instant) -> BodyArrival {
        self.bodies.fetch_add(1, Ordering::Relaxed);
        let arrival = BodyArrival {
            state: Arc::clone(self),
        };
        arrival.record_progress(now);
        arrival
    }

    /// Since when the bodies of all calls have stopped midway; `None` if one arrives, or if a call has
    /// its whole body.
    fn stalled_since(&self, now: Instant) -> Option<Instant> {
        if self.bodies.load(Ordering::Relaxed) < self.calls.load(Ordering::Relaxed) {
            return None;
        }
        let since = self.accepted + Duration::from_millis(self.body_ms.load(Ordering::Relaxed));
        let is_stalled = now.saturating_duration_since(since) >= STALL_TIME;
        is_stalled.then_some(since)
    }

    /// Records whether a part of the body of the last request may still come.
    pub(super) fn set_body_left(&self, has_body_left: bool) {
        self.has_body_left.store(has_body_left, Ordering::Relaxed);
    }

    /// Whether a part of the last request may still come. The library reads shared connections to
    /// their end by itself.
    pub(super) fn may_have_body_left(&self) -> bool {
        let is_multiplexed = self.is_multiplexed.load(Ordering::Relaxed);
        self.has_body_left.load(Ordering::Relaxed) && !is_multiplexed
    }

    /// Where the connection stands among those that may yield their places; `None` if it may not.
    pub(super) fn yield_order(&self, now: Instant) -> Option<YieldOrder> {
        if self.has_yielded() {
            return None;
        }
        if self.phase() == ConnectionPhase::Call {
            return self.stalled_since(now).map(YieldOrder::Stalled);
        }
        if !self.has_called.load(Ordering::Relaxed) {
            return Some(YieldOrder::NeverCalled(self.accepted));
        }
        let since = self.since();
        let is_idle = now.saturating_duration_since(since) >= MIN_IDLE_TIME;
        is_idle.then_some(YieldOrder::Waiting(since))
    }

    /// Gives the place away; the connection is then closed.
    pub(super) fn yield_place(&self) -> Option<OwnedSemaphorePermit> {
        self.yielded.cancel();
        let mut place = self.place.lock().unwrap_or_else(PoisonError::into_inner);
        place.take()
    }

    /// Whether the place was given away.
    pub(super) fn has_yielded(&self) -> bool {
        self.yielded.is_cancelled()
    }

    /// Waits until the place was given away.
    pub(super) async fn until_yielded(&self) {
        self.yielded.cancelled().await;
    }

    /// Waits until the connection has to be closed.
    pub(super) async fn until_closed(&self, limits: &ConnectionLimits) -> CloseReason {
        tokio::select! {
            () = self.until_yielded() => CloseReason::Yielded,
            reason = self.until_expired(limits) => reason,
        }
    }

    async fn until_expired(&self, limits: &ConnectionLimits) -> CloseReason {
        loop {
            let now = Instant::now();
            let wake_at = match self.expiry(limits) {
                Some((at, reason)) if at <= now => return reason,
                Some((at, _)) => at,
                None => now + limits.head_time.min(limits.idle_time),
            };
            tokio::time::sleep_until(wake_at.into()).await;
        }
    }

    /// When the connection is closed if nothing happens, and why; `None` during calls. Connections
    /// that calls share are asked for signs of life by the library.
    fn expiry(&self, limits: &ConnectionLimits) -> Option<(Instant, CloseReason)> {
        if self.is_multiplexed.load(Ordering::Relaxed) {
            return None;
        }
        match self.phase() {
            ConnectionPhase::Call => None,
            ConnectionPhase::Head => Some((self.since() + limits.head_time, CloseReason::LateHead)),
            ConnectionPhase::Idle => Some((self.since() + limits.idle_time, CloseReason::Idle)),
        }
    }

    fn since(&self) -> Instant {
        self.accepted + Duration::from_millis(self.since_ms.load(Ordering::Relaxed))
    }

    fn set_since(&self, now: Instant) {
        let since = now.saturating_duration_since(self.accepted);
        self.since_ms
            .store(since.as_millis() as u64, Ordering::Relaxed);
    }
}

impl BodyArrival {
    /// Records that a part of the body has arrived.
    pub(super) fn record_progress(&self, now: Instant) {
        let since = now.saturating_duration_since(self.state.accepted);
        self.state
            .body_ms
            .store(since.as_millis() as u64, Ordering::Relaxed);
    }
}

impl Drop for BodyArrival {
    fn drop(&mut self) {
        self.state.bodies.fetch_sub(1, Ordering::Relaxed);
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
