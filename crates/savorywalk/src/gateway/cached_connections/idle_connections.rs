use crate::prelude::*;

/// Longest time that an idle connection is kept. A device between the two ends may drop its
/// state for an idle connection without closing it.
const MAX_IDLE: Duration = Duration::from_secs(4);

/// Time before an endpoint's keep-alive timeout from which on a connection is not used, so
/// that no request is sent while the endpoint closes it.
const CLOSE_MARGIN: Duration = Duration::from_millis(900);

/// Maximum number of idle connections to one endpoint.
const MAX_PER_ENDPOINT: usize = 2;

/// Maximum number of idle connections to all endpoints; each takes about 20 KB.
const MAX_CONNECTIONS: usize = 128;

/// Idle connections by endpoint, as a state machine without I/O.
#[derive(Debug)]
pub(super) struct IdleConnections<C> {
    by_endpoint: FastMap<String, Vec<CachedConnection<C>>>,
    count: usize,
}

#[derive(Debug)]
struct CachedConnection<C> {
    connection: C,
    expires_at: Instant,
}

impl<C> Default for IdleConnections<C> {
    fn default() -> Self {
        Self {
            by_endpoint: FastMap::default(),
            count: 0,
        }
    }
}

impl<C> IdleConnections<C> {
    /// Adds a connection whose last answer was read completely. The endpoint closes it
    /// after `keep_alive` without a request, if that is known.
    pub(super) fn put(
        &mut self,
        now: Instant,
        endpoint: &str,
        connection: C,
        keep_alive: Option<Duration>,
    ) {
        let time = keep_alive.map_or(MAX_IDLE, |time| time.saturating_sub(CLOSE_MARGIN));
        let expires_at = now + time.min(MAX_IDLE);
        if expires_at <= now {
            return;
        }
        if self.count >= MAX_CONNECTIONS {
            self.expire(now);
        }
        let cached = self.by_endpoint.entry(endpoint.to_string()).or_default();
        if cached.len() < MAX_PER_ENDPOINT && self.count < MAX_CONNECTIONS {
            cached.push(CachedConnection {
                connection,
                expires_at,
            });
            self.count += 1;
        }
    }

    /// Removes and returns the usable connection to an endpoint that was added last.
    pub(super) fn take(&mut self, now: Instant, endpoint: &str) -> Option<C> {
        let cached = self.by_endpoint.get_mut(endpoint)?;
        let before = cached.len();
        cached.retain(|connection| now < connection.expires_at);
        let connection = cached.pop();
        self.count -= before - cached.len();
        if cached.is_empty() {
            self.by_endpoint.remove(endpoint);
        }
        connection.map(|cached| cached.connection)
    }

    /// Closes connections whose idle time is over.
    pub(super) fn expire(&mut self, now: Instant) {
        self.by_endpoint.retain(|_, cached| {
            cached.retain(|connection| now < connection.expires_at);
            !cached.is_empty()
        });
        self.count = self.by_endpoint.values().map(Vec::len).sum();
    }
}

#[cfg(test)]
#[path = "idle_connections_tests.rs"]
mod tests;
