use crate::prelude::*;

/// Head start of a direct connection before a relay is tried too: many round trips within a
/// region, and a small part of the shortest objective.
pub(super) const HEAD_START: Duration = Duration::from_millis(100);

/// Head start while this entry seems to have no path to any endpoint: a few round trips, so that
/// the first connection to each further endpoint does not cost its caller [`HEAD_START`].
pub(super) const ISOLATED_HEAD_START: Duration = Duration::from_millis(15);

/// Lost paths in a row, without a direct connection between them, after which an entry seems to
/// have no path to any endpoint. One may be a lost packet.
const ISOLATION_PATHS: usize = 2;

/// Time for which no relay is tried for an endpoint that no path has reached, so that a crashed
/// endpoint costs other entries a connection attempt a second at most.
const UNREACHABLE_TIME: Duration = Duration::from_secs(1);

/// Time for which a direct connection proves that this entry reaches endpoints.
const PROOF_TIME: Duration = Duration::from_secs(2);

/// The path to one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::gateway) struct EndpointPath {
    /// Pool of the endpoint.
    pub(in crate::gateway) pool: String,
    /// Identity of its incarnation.
    pub(in crate::gateway) endpoint: String,
}

#[derive(Clone, Debug)]
struct LostPath {
    pool: String,
    /// Time of the last probe, or of the loss.
    probed: Instant,
}

/// How to connect to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PathChoice {
    /// Directly only.
    Direct,
    /// Directly, and by a relay as well after this head start.
    Race(Duration),
    /// By a relay first.
    Relay,
}

/// What this entry knows of its own paths to endpoints, as a state machine without I/O.
///
/// A path counts as lost only when a relay reaches an endpoint that this entry does not: ten
/// endpoints that fail here at once may all have crashed.
#[derive(Debug, Default)]
pub(super) struct PathTable {
    /// Lost paths by endpoint.
    lost: FastMap<String, LostPath>,
    /// Until when no relay is tried for an endpoint.
    unreachable: FastMap<String, Instant>,
    /// Time of the last direct connection.
    connected: Option<Instant>,
    /// Paths lost since that connection.
    lost_in_a_row: usize,
    /// Direct connections that failed since.
    failed_in_a_row: usize,
}

impl PathTable {
    /// Chooses how to connect to an endpoint.
    pub(super) fn choose(&self, now: Instant, endpoint: &str) -> PathChoice {
        if self.lost.contains_key(endpoint) {
            return PathChoice::Relay;
        }
        let is_unreachable = self
            .unreachable
            .get(endpoint)
            .is_some_and(|until| now < *until);
        match (is_unreachable, self.is_isolated()) {
            (true, _) => PathChoice::Direct,
            (false, true) => PathChoice::Race(ISOLATED_HEAD_START),
            (false, false) => PathChoice::Race(HEAD_START),
        }
    }

    /// Whether this entry seems to have no path to any endpoint.
    pub(super) fn is_isolated(&self) -> bool {
        self.lost_in_a_row >= ISOLATION_PATHS
    }

    /// Number of lost paths.
    pub(super) fn lost_count(&self) -> usize {
        self.lost.len()
    }

    /// Whether an endpoint that this entry does not reach is probably down: this entry has
    /// connected to another one recently, and did not fail at several since.
    pub(super) fn reaches_endpoints(&self, now: Instant) -> bool {
        let is_recent = |connected| now.saturating_duration_since(connected) < PROOF_TIME;
        self.failed_in_a_row <= ISOLATION_PATHS && self.connected.is_some_and(is_recent)
    }

    /// Records a direct connection. Returns whether the path to the endpoint was lost before.
    pub(super) fn record_connected(&mut self, now: Instant, endpoint: &str) -> bool {
        self.connected = Some(now);
        self.lost_in_a_row = 0;
        self.failed_in_a_row = 0;
        self.unreachable.remove(endpoint);
        self.lost.remove(endpoint).is_some()
    }

    /// Records a direct connection that failed.
    pub(super) fn record_failed(&mut self) {
        self.failed_in_a_row = self.failed_in_a_row.saturating_add(1);
    }

    /// Records that a relay reached an endpoint that this entry did not reach. Returns whether
    /// that is new.
    pub(super) fn record_lost(&mut self, now: Instant, path: EndpointPath) -> bool {
        self.record_failed();
        if self.lost.contains_key(&path.endpoint) {
            return false;
        }
        self.lost_in_a_row += 1;
        let EndpointPath { pool, endpoint } = path;
        self.lost.insert(endpoint, LostPath { pool, probed: now });
        true
    }

    /// Records that neither this entry nor a relay reached an endpoint.
    pub(super) fn record_unreachable(&mut self, now: Instant, endpoint: &str) {
        self.unreachable.retain(|_, until| now < *until);
        let until = now + UNREACHABLE_TIME;
        self.unreachable.insert(endpoint.to_string(), until);
    }

    /// Returns the lost path that was probed longest ago, to be probed now.
    pub(super) fn take_probe(&mut self, now: Instant) -> Option<EndpointPath> {
        let oldest = self.lost.iter_mut().min_by_key(|(_, path)| path.probed);
        let (endpoint, path) = oldest?;
        path.probed = now;
        Some(EndpointPath {
            pool: path.pool.clone(),
            endpoint: endpoint.clone(),
        })
    }

    /// Forgets the path to an endpoint that has left.
    pub(super) fn forget(&mut self, endpoint: &str) {
        self.lost.remove(endpoint);
    }

    /// Records that a probe of a lost path connected. All paths count as good again: a race finds
    /// those that are still lost, at the cost of its head start.
    pub(super) fn record_restored(&mut self, now: Instant, endpoint: &str) {
        self.record_connected(now, endpoint);
        self.lost.clear();
    }
}

#[cfg(test)]
#[path = "path_table_tests.rs"]
mod tests;
