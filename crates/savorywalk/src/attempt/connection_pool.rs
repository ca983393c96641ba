use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use super::idle_connections::IdleConnections;
use super::pooled_connection::{ConnectionSlot, PooledConnection};
use super::{AttemptError, Result};
use crate::prelude::*;

/// Maximum number of connections open to one endpoint, from one daemon.
const MAX_OPEN_CONNECTIONS: u32 = 512;
/// Minimum time between two sweeps, which close expired connections and remove
/// addresses without connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// HTTP/1.1 connections to the endpoints, each used by one attempt at a time.
///
/// With HTTP/1.1, a connection that stops responding delays one attempt rather
/// than all attempts at an endpoint. See docs/design/attempts.md.
#[derive(Debug, Default)]
pub(super) struct ConnectionPool {
    inner: Mutex<PoolInner>,
}

#[derive(Debug, Default)]
struct PoolInner {
    addresses: FastMap<SocketAddr, AddressConnections>,
    last_sweep: Option<Instant>,
}

#[derive(Debug, Default)]
struct AddressConnections {
    idle: IdleConnections<PooledConnection>,
    open: Arc<AtomicU32>,
}

/// Whether an attempt may reuse a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionChoice {
    /// An idle connection if there is one, otherwise a new one.
    Reused,
    /// A new connection. After a failure on a reused connection, it can be
    /// unknown whether the request arrived.
    Fresh,
}

impl ConnectionPool {
    /// Returns a connection to `address`, and whether it is a reused one.
    pub(super) async fn get(
        &self,
        address: SocketAddr,
        choice: ConnectionChoice,
    ) -> Result<(PooledConnection, bool)> {
        let slot = {
            let mut inner = self.inner();
            let connections = inner.addresses.entry(address).or_default();
            let now = Instant::now();
            let reused = match choice {
                ConnectionChoice::Reused => connections.take_open(now),
                ConnectionChoice::Fresh => None,
            };
            if let Some(connection) = reused {
                return Ok((connection, true));
            }
            connections.slot(now)?
        };
        let connection = PooledConnection::open(address, slot).await?;
        Ok((connection, false))
    }

    /// Returns a connection to the pool. Its last answer must have been read to
    /// the end.
    pub(super) fn put(&self, connection: PooledConnection) {
        let now = Instant::now();
        let mut inner = self.inner();
        let connections = inner.addresses.entry(connection.address()).or_default();
        connections.idle.put(now, connection);
        inner.sweep(now);
    }

    /// Closes the idle connections to `address` that were last used at or before
    /// `now`.
    pub(super) fn invalidate(&self, now: Instant, address: SocketAddr) {
        let mut inner = self.inner();
        if let Some(connections) = inner.addresses.get_mut(&address) {
            connections.idle.invalidate(now);
        }
    }

    fn inner(&self) -> MutexGuard<'_, PoolInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AddressConnections {
    fn take_open(&mut self, now: Instant) -> Option<PooledConnection> {
        while let Some(connection) = self.idle.take(now) {
            if !connection.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a slot for a new connection. Closes an idle connection to free
    /// its slot when all slots are in use.
    fn slot(&mut self, now: Instant) -> Result<ConnectionSlot> {
        if let Some(slot) = ConnectionSlot::try_acquire(&self.open, MAX_OPEN_CONNECTIONS) {
            return Ok(slot);
        }
        drop(self.idle.take(now));
        let slot = ConnectionSlot::try_acquire(&self.open, MAX_OPEN_CONNECTIONS);
        slot.ok_or(AttemptError::NoConnection(MAX_OPEN_CONNECTIONS))
    }
}

impl PoolInner {
    /// Closes expired connections and removes addresses without connections.
    fn sweep(&mut self, now: Instant) {
        let is_due = self
            .last_sweep
            .is_none_or(|last_sweep| now >= last_sweep + SWEEP_INTERVAL);
        if !is_due {
            return;
        }
        self.last_sweep = Some(now);
        self.addresses.retain(|_, connections| {
            connections.idle.evict_expired(now);
            connections.idle.len() > 0 || connections.open.load(Ordering::Relaxed) > 0
        });
    }
}
