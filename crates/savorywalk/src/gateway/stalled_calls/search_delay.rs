use crate::prelude::*;

/// Longest time for which a stalled stream is kept open after it was sent to its replacement. An
/// endpoint that refuses does so within a few round trips; two engines must not work on a stream
/// for longer.
pub(in crate::gateway) const HANDOVER_TIME: Duration = Duration::from_millis(200);

/// Longest time for which an endpoint may take to answer a probe: many round trips within a
/// region. Sound endpoints answer at once, whatever they work on.
pub(in crate::gateway) const PROBE_TIMEOUT: Duration = Duration::from_millis(120);

/// Endpoints that a search probes before it makes stages again. Each is asked once, so that a pause of
/// all endpoints costs few probes.
pub(in crate::gateway) const MAX_PROBES: usize = 3;

/// Time from a send to the probe of its endpoint. The answer is due when the handover ends.
pub(in crate::gateway) const HANDOVER_PROBE_DELAY: Duration =
    HANDOVER_TIME.saturating_sub(PROBE_TIMEOUT);

/// Delay before the next search after one that was refused. It doubles, since a search may make
/// other entries work.
const FIRST_DELAY: Duration = Duration::from_millis(200);
const MAX_DELAY: Duration = Duration::from_millis(1_600);

/// Whether a stalled call could be replaced now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum ReplacementChance {
    /// No endpoint is better off, or none may get the request.
    NoEndpoint,
    /// One is, and the request may not be sent again now.
    Denied,
    /// One is, and the request may probably be sent to it.
    Likely,
}

/// Delays between the searches for a replacement of one stalled call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) struct SearchDelay {
    next: Duration,
}

impl Default for SearchDelay {
    fn default() -> Self {
        Self { next: FIRST_DELAY }
    }
}

impl SearchDelay {
    /// Delay after a search that found no better endpoint; the check is local.
    pub(in crate::gateway) const AFTER_NONE: Duration = Duration::from_millis(50);

    /// Delay after a search that was refused.
    pub(in crate::gateway) fn after_refusal(&mut self) -> Duration {
        let delay = self.next;
        self.next = (delay * 2).min(MAX_DELAY);
        delay
    }
}

#[cfg(test)]
#[path = "search_delay_tests.rs"]
mod tests;
