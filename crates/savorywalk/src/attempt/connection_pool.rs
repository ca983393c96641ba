use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use super::idle_connections::IdleConnections;
use super::pooled_connection::{ConnectionSlot, PooledConnection};
use super::{AttemptError, Result};
use crate::prelude::*;

/// Most connections open to one endpoint, from one daemon.
const MAX_OPEN: u32 = 512;
/// Time between two looks for endpoints that are gone.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Connections to the endpoints: one attempt on each at a time.
///
/// HTTP/1.1 keeps attempts apart: a connection that goes silent holds up one
/// attempt, not all of an endpoint's. See docs/design/attempts.md.
#[derive(Debug, Default)]
pub(super) struct ConnectionPool {
    inner: Mutex<PoolInner>,
}

#[derive(Debug, Default)]
struct PoolInner {
    addresses: FastMap<SocketAddr, AddressConnections>,
    swept: Option<Instant>,
}

#[derive(Debug, Default)]
struct AddressConnections {
    idle: IdleConnections<PooledConnection>,
    open: Arc<AtomicU32>,
}

/// Which connection an attempt may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionChoice {
    /// One that was used before, when there is one.
    Reused,
    /// A new one: whether a request on a used one arrived can't always be told.
    Fresh,
}

impl ConnectionPool {
    /// A connection to `address`, and whether it was used before.
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

    /// Keeps a connection whose last answer was read to its end.
    pub(super) fn put(&self, connection: PooledConnection) {
        let now = Instant::now();
        let mut inner = self.inner();
        let connections = inner.addresses.entry(connection.address()).or_default();
        connections.idle.put(now, connection);
        inner.sweep(now);
    }

    /// Uses no connection to `address` that was not proven since `now`.
    pub(super) fn distrust(&self, now: Instant, address: SocketAddr) {
        let mut inner = self.inner();
        if let Some(connections) = inner.addresses.get_mut(&address) {
            connections.idle.distrust(now);
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

    /// A slot for a new connection; an idle one gives up its own if need be.
    fn slot(&mut self, now: Instant) -> Result<ConnectionSlot> {
        if let Some(slot) = ConnectionSlot::take(&self.open, MAX_OPEN) {
            return Ok(slot);
        }
        drop(self.idle.take(now));
        let slot = ConnectionSlot::take(&self.open, MAX_OPEN);
        slot.ok_or(AttemptError::NoConnection(MAX_OPEN))
    }
}

impl PoolInner {
    /// Closes what is old and forgets addresses without a connection.
    fn sweep(&mut self, now: Instant) {
        let due = self.swept.is_none_or(|swept| now >= swept + SWEEP_INTERVAL);
        if !due {
            return;
        }
        self.swept = Some(now);
        self.addresses.retain(|_, connections| {
            connections.idle.forget(now);
            connections.idle.len() > 0 || connections.open.load(Ordering::Relaxed) > 0
        });
    }
}
