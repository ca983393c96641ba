use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::connection_state::ConnectionState;
use crate::prelude::*;

/// The connections of one listener, and their places.
///
/// With all places taken, a new connection gets that of one that waits for a request, so that clients
/// who send nothing do not keep others out. See docs/design/intake-limits.md.
#[derive(Debug)]
pub(super) struct ConnectionTable {
    places: Arc<Semaphore>,
    connections: Mutex<FastMap<u64, Arc<ConnectionState>>>,
    next_id: AtomicU64,
}

/// An open connection; leaves its table on drop.
#[derive(Debug)]
pub(super) struct OpenConnection {
    table: Arc<ConnectionTable>,
    id: u64,
    pub(super) state: Arc<ConnectionState>,
}

impl ConnectionTable {
    pub(super) fn new(places: usize) -> Arc<Self> {
        Arc::new(Self {
            places: Arc::new(Semaphore::new(places)),
            connections: Mutex::default(),
            next_id: AtomicU64::default(),
        })
    }

    /// Takes a place; `None` if every connection has a request or has just had one.
    pub(super) fn take_place(&self, now: Instant) -> Option<OwnedSemaphorePermit> {
        if let Ok(permit) = Arc::clone(&self.places).try_acquire_owned() {
            return Some(permit);
        }
        let connections = self.connections();
        let waiting = connections.values();
        let waiting = waiting.filter_map(|state| Some((state.yield_order(now)?, state)));
        let (_, state) = waiting.min_by_key(|(order, _)| *order)?;
        state.yield_place()
    }

    /// Adds a connection that was accepted at `now` and has the place `permit`.
    pub(super) fn open(
        self: &Arc<Self>,
        permit: OwnedSemaphorePermit,
        now: Instant,
    ) -> OpenConnection {
        let connection = self.open_apart(permit, now);
        let state = Arc::clone(&connection.state);
        self.connections().insert(connection.id, state);
        connection
    }

    /// Like [`open`](Self::open), for a connection that is to be refused: its place is none of this
    /// table's, so nobody else gets it.
    pub(super) fn open_apart(
        self: &Arc<Self>,
        permit: OwnedSemaphorePermit,
        now: Instant,
    ) -> OpenConnection {
        OpenConnection {
            table: Arc::clone(self),
            id: self.next_id.fetch_add(1, Ordering::Relaxed),
            state: ConnectionState::new(now, permit),
        }
    }

    fn connections(&self) -> MutexGuard<'_, FastMap<u64, Arc<ConnectionState>>> {
        let connections = self.connections.lock();
        connections.unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.table.connections().remove(&self.id);
    }
}

#[cfg(test)]
#[path = "connection_table_tests.rs"]
mod tests;
