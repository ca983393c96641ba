use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::{Notify, Semaphore, watch};
use tokio::time::Instant as TokioInstant;

use super::connection_uses::ConnectionUse;
use super::link_connection::LinkConnection;
use super::queue_quota::QueueQuota;
use super::receive_meter::ReceiveMeter;
use super::send_queue::SendQueue;
use super::{LinkError, PeerName, Result, WireCounts, link_limits as limits};
use crate::prelude::*;

/// Why the last dial failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum DialFailure {
    /// No address is known.
    Unknown,
    /// A certificate was refused, by the peer or here.
    Certificate(String),
    /// Anything else.
    Unreachable(String),
}

/// The connections to one peer and what dials have met.
#[derive(Debug, Default)]
pub(super) struct SlotState {
    connections: Vec<Arc<LinkConnection>>,
    failures: u64,
    failure: Option<DialFailure>,
}

/// All that a daemon holds about one peer.
#[derive(Debug)]
pub(super) struct PeerSlot {
    /// The peer.
    pub(super) name: PeerName,
    /// What waits for it.
    pub(super) queue: Mutex<SendQueue>,
    /// Wakes its writer.
    pub(super) queued: Notify,
    /// Wakes its keeper.
    pub(super) wanted: Notify,
    /// What it has sent lately.
    pub(super) meter: Mutex<ReceiveMeter>,
    /// Bounds how many of its requests are read at once.
    pub(super) readers: Semaphore,
    waiting: AtomicUsize,
    state: watch::Sender<SlotState>,
    prefers_own: bool,
}

/// Counts one call that waits for a connection until it is dropped.
struct WaitingGuard<'a> {
    slot: &'a PeerSlot,
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.slot.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

impl PeerSlot {
    /// A slot of the daemon `own` for the peer `name`, without a connection.
    pub(super) fn new(own: &PeerName, name: PeerName, quota: Arc<QueueQuota>) -> Self {
        Self {
            prefers_own: *own < name,
            name,
            queue: Mutex::new(SendQueue::new(quota)),
            queued: Notify::new(),
            wanted: Notify::new(),
            meter: Mutex::new(ReceiveMeter::new(Instant::now())),
            readers: Semaphore::new(limits::MAX_CALL_READERS),
            waiting: AtomicUsize::new(0),
            state: watch::Sender::default(),
        }
    }

    /// The connection for new work. Both ends prefer the one that the lesser
    /// name dialled, so that neither uses one which the other retires.
    pub(super) fn current(&self) -> Option<Arc<LinkConnection>> {
        let state = self.state.borrow();
        let usable = state
            .connections
            .iter()
            .enumerate()
            .filter(|(_, connection)| connection.is_usable());
        let best = usable.max_by_key(|(index, connection)| {
            let preferred = connection.is_dialled() == self.prefers_own;
            (!connection.is_suspect(), preferred, *index)
        });
        best.map(|(_, connection)| Arc::clone(connection))
    }

    /// Whether there is a connection that nothing speaks against.
    pub(super) fn has_healthy(&self, now: Instant, generation: u64) -> bool {
        self.state.borrow().connections.iter().any(|connection| {
            connection.is_usable()
                && !connection.is_suspect()
                && !connection.is_outdated(now, generation)
        })
    }

    /// Whether a connection is open, whatever is thought of it.
    pub(super) fn has_open(&self) -> bool {
        let state = self.state.borrow();
        state
            .connections
            .iter()
            .any(|connection| connection.is_open())
    }

    /// Number of its calls in progress here.
    pub(super) fn count_served(&self) -> usize {
        let state = self.state.borrow();
        let open = state.connections.iter().filter(|open| open.is_open());
        open.map(|open| open.uses().count(ConnectionUse::ServedCall))
            .sum()
    }

    /// What the open connections have put on the wire.
    pub(super) fn wire_counts(&self) -> WireCounts {
        let mut counts = WireCounts::default();
        for connection in &self.state.borrow().connections {
            counts += WireCounts::of(&connection.quic);
        }
        counts
    }

    /// Whether something waits for a connection.
    pub(super) fn is_wanted(&self) -> bool {
        self.waiting.load(Ordering::Relaxed) > 0 || !self.lock_queue().is_empty()
    }

    /// Takes a new connection. When the peer has too many, the oldest goes on which nothing is in
    /// progress, or else the oldest of all.
    pub(super) fn adopt(&self, connection: Arc<LinkConnection>) {
        self.state.send_modify(|state| {
            state.connections.retain(|connection| connection.is_open());
            state.connections.push(connection);
            if state.connections.len() > limits::MAX_CONNECTIONS_PER_PEER {
                let mut earlier = state.connections.iter();
                earlier.next_back();
                let unused = earlier.position(|connection| connection.uses().is_empty());
                let oldest = state.connections.remove(unused.unwrap_or(0));
                oldest
                    .quic
                    .close(CLOSE_TOO_MANY.into(), b"too many connections");
            }
            state.failure = None;
        });
        self.queued.notify_one();
        self.wanted.notify_one();
    }

    /// Forgets closed connections and wakes who waits.
    pub(super) fn prune(&self) {
        self.state
            .send_modify(|state| state.connections.retain(|connection| connection.is_open()));
        self.queued.notify_one();
        self.wanted.notify_one();
    }

    /// Notes a failed dial; calls that wait for a connection end with it.
    pub(super) fn dial_failed(&self, failure: DialFailure) {
        self.state.send_modify(|state| {
            state.failures += 1;
            state.failure = Some(failure);
        });
    }

    /// Looks at every connection; returns how many have become suspect.
    pub(super) fn inspect(&self, now: Instant, generation: u64) -> usize {
        let connections = self.state.borrow().connections.clone();
        let suspects = connections
            .iter()
            .filter(|connection| connection.inspect(now))
            .count();
        let is_healthy = self.has_healthy(now, generation);
        if is_healthy {
            self.retire_replaced(now, generation, &connections);
        }
        for connection in &connections {
            connection.close_if_lost(now, is_healthy);
        }
        if connections.iter().any(|connection| !connection.is_open()) {
            self.prune();
        }
        suspects
    }

    /// Retires what a healthy connection has made superfluous.
    fn retire_replaced(&self, now: Instant, generation: u64, connections: &[Arc<LinkConnection>]) {
        let preferred = |connection: &Arc<LinkConnection>| {
            connection.is_dialled() == self.prefers_own
                && connection.is_open()
                && !connection.is_retired()
                && !connection.is_suspect()
                && connection.age(now) >= limits::DUPLICATE_AGE
        };
        let newest = connections.iter().rposition(preferred);
        for (index, connection) in connections.iter().enumerate() {
            let outdated = connection.is_outdated(now, generation);
            let duplicate = connection.is_dialled() && newest.is_some_and(|newest| newest != index);
            if outdated || connection.is_suspect() || duplicate {
                connection.retire(now);
            }
        }
    }

    /// Waits until `deadline` for a connection to call over.
    pub(super) async fn connection(&self, deadline: TokioInstant) -> Result<Arc<LinkConnection>> {
        if let Some(connection) = self.current() {
            return Ok(connection);
        }
        let mut changes = self.state.subscribe();
        let failures = changes.borrow().failures;
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let _waiting = WaitingGuard { slot: self };
        self.wanted.notify_one();
        loop {
            if let Some(connection) = self.current() {
                return Ok(connection);
            }
            if changes.borrow_and_update().failures > failures {
                return Err(self.failure());
            }
            match tokio::time::timeout_at(deadline, changes.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return Err(LinkError::Closed),
                Err(_) => return Err(self.failure()),
            }
        }
    }

    /// Waits until the set of connections changes.
    pub(super) async fn changed(&self) {
        let mut changes = self.state.subscribe();
        if changes.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// What the last dial met, as an error for a caller.
    pub(super) fn failure(&self) -> LinkError {
        let peer = self.name.clone();
        match self.state.borrow().failure.clone() {
            Some(DialFailure::Unknown) => LinkError::UnknownPeer(peer.to_string()),
            Some(DialFailure::Certificate(detail)) => LinkError::Certificate { peer, detail },
            Some(DialFailure::Unreachable(detail)) => LinkError::Unreachable { peer, detail },
            None => LinkError::Unreachable {
                peer,
                detail: "no connection yet".into(),
            },
        }
    }

    /// The queue, locked.
    pub(super) fn lock_queue(&self) -> std::sync::MutexGuard<'_, SendQueue> {
        self.queue
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }

    /// The meter, locked.
    pub(super) fn lock_meter(&self) -> std::sync::MutexGuard<'_, ReceiveMeter> {
        self.meter
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }
}

/// Close code of the oldest of too many connections.
const CLOSE_TOO_MANY: u32 = 2;
