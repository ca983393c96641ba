use crate::prelude::*;

/// Time after which an idle connection is closed. Seconds rather than minutes,
/// as a device between the two ends may drop the state of an idle connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum number of idle connections to one endpoint.
const MAX_IDLE_CONNECTIONS: usize = 32;

/// Idle connections to one endpoint, as a state machine without I/O.
#[derive(Debug)]
pub(super) struct IdleConnections<C> {
    connections: Vec<IdleConnection<C>>,
    /// Connections last used at or before this time are closed.
    invalidated_at: Option<Instant>,
}

#[derive(Debug)]
struct IdleConnection<C> {
    connection: C,
    last_used: Instant,
}

impl<C> Default for IdleConnections<C> {
    fn default() -> Self {
        Self {
            connections: Vec::new(),
            invalidated_at: None,
        }
    }
}

impl<C> IdleConnections<C> {
    /// Adds a connection that has just carried a complete answer. Returns the
    /// oldest one, to be closed, when there are too many.
    pub(super) fn put(&mut self, now: Instant, connection: C) -> Option<C> {
        let last_used = now;
        self.connections.push(IdleConnection {
            connection,
            last_used,
        });
        if self.connections.len() <= MAX_IDLE_CONNECTIONS {
            return None;
        }
        Some(self.connections.remove(0).connection)
    }

    /// Removes and returns the most recently used connection that has not expired.
    pub(super) fn take(&mut self, now: Instant) -> Option<C> {
        self.evict_expired(now);
        self.connections.pop().map(|idle| idle.connection)
    }

    /// Closes all connections last used at or before `now`. Called when one
    /// connection stops responding, as the others share its network path.
    pub(super) fn invalidate(&mut self, now: Instant) {
        self.invalidated_at = Some(now);
        self.evict_expired(now);
    }

    /// Closes connections that timed out or were invalidated.
    pub(super) fn evict_expired(&mut self, now: Instant) {
        let invalidated_at = self.invalidated_at;
        self.connections.retain(|idle| {
            let age = now.saturating_duration_since(idle.last_used);
            age < IDLE_TIMEOUT
                && invalidated_at.is_none_or(|invalidated_at| idle.last_used > invalidated_at)
        });
    }

    /// Number of idle connections, expired ones included.
    pub(super) fn len(&self) -> usize {
        self.connections.len()
    }
}

#[cfg(test)]
#[path = "idle_connections_tests.rs"]
mod tests;
