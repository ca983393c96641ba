use crate::prelude::*;

/// How long an idle connection is kept. Something between the two ends may
/// lose track of a quiet connection, so it is kept for seconds, not minutes.
const MAX_IDLE: Duration = Duration::from_secs(15);
/// Most idle connections kept for one endpoint.
const MAX_KEPT: usize = 32;

/// Idle connections to one endpoint, as a state machine without I/O.
#[derive(Debug)]
pub(super) struct IdleConnections<C> {
    kept: Vec<IdleConnection<C>>,
    /// Connections that were last proven before this are not used any more.
    distrusted: Option<Instant>,
}

#[derive(Debug)]
struct IdleConnection<C> {
    connection: C,
    proven: Instant,
}

impl<C> Default for IdleConnections<C> {
    fn default() -> Self {
        Self {
            kept: Vec::new(),
            distrusted: None,
        }
    }
}

impl<C> IdleConnections<C> {
    /// Keeps a connection that has just carried a whole answer. Gives back
    /// what is closed to make room.
    pub(super) fn put(&mut self, now: Instant, connection: C) -> Option<C> {
        let proven = now;
        self.kept.push(IdleConnection { connection, proven });
        if self.kept.len() <= MAX_KEPT {
            return None;
        }
        Some(self.kept.remove(0).connection)
    }

    /// The connection that was proven last, if any can still be trusted.
    pub(super) fn take(&mut self, now: Instant) -> Option<C> {
        self.forget(now);
        self.kept.pop().map(|idle| idle.connection)
    }

    /// Closes all that were proven before `now`: one connection went silent,
    /// and the others took the same way.
    pub(super) fn distrust(&mut self, now: Instant) {
        self.distrusted = Some(now);
        self.forget(now);
    }

    /// Closes what is too old.
    pub(super) fn forget(&mut self, now: Instant) {
        let distrusted = self.distrusted;
        self.kept.retain(|idle| {
            let age = now.saturating_duration_since(idle.proven);
            age < MAX_IDLE && distrusted.is_none_or(|distrusted| idle.proven > distrusted)
        });
    }

    /// Number of connections kept.
    pub(super) fn len(&self) -> usize {
        self.kept.len()
    }
}

#[cfg(test)]
#[path = "idle_connections_tests.rs"]
mod tests;
