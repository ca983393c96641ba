use crate::prelude::*;

/// Longest time that a started entry waits for endpoints it needs: past it the
/// lack is theirs, and a balancer without any ready entry would serve nobody.
const WAIT_TIMEOUT: Duration = Duration::from_secs(2);

/// Whether the balancer may send requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadinessState {
    /// Started, and not yet told of its endpoints.
    Warming,
    /// Takes requests.
    Ready,
    /// Finishes what it has.
    Stopping,
}

/// Decides when a started entry is ready.
///
/// An entry that were ready at once would refuse what its neighbours could
/// answer, until the endpoints have announced themselves to it.
#[derive(Clone, Copy, Debug)]
pub struct ReadinessGate {
    started: Instant,
    warm_up: Duration,
}

/// What the gate looks at.
#[derive(Clone, Copy, Debug)]
pub struct ReadinessView {
    /// Whether every pool that a pipeline needs has a serving endpoint.
    pub pools_served: bool,
    /// Whether a peer's whole directory has been taken over.
    pub directory_synced: bool,
}

impl ReadinessGate {
    /// A gate of an entry that listens since `started`; no warm-up makes it
    /// ready at once.
    pub fn new(started: Instant, warm_up: Duration) -> Self {
        Self { started, warm_up }
    }

    /// Whether the entry is warm at `now`.
    pub fn is_warm(&self, now: Instant, view: ReadinessView) -> bool {
        let age = now.saturating_duration_since(self.started);
        if self.warm_up.is_zero() || age >= WAIT_TIMEOUT.max(self.warm_up) {
            return true;
        }
        let told = view.directory_synced || age >= self.warm_up;
        told && view.pools_served
    }
}

#[cfg(test)]
#[path = "readiness_gate_tests.rs"]
mod tests;
