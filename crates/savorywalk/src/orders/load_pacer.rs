use crate::prelude::*;

/// Loads a minute when the configuration says nothing.
const DEFAULT_LOADS_PER_MINUTE: u32 = 6;
const MINUTE: Duration = Duration::from_secs(60);

/// Spaces loads evenly, so that the weight store's rate limit is never met.
///
/// It keeps no credit for quiet times: endpoints that load at once share the
/// store, and each would take longer than its order's time limit.
#[derive(Clone, Debug, Default)]
pub struct LoadPacer {
    next: Option<Instant>,
}

impl LoadPacer {
    /// Whether a load may start at `now`; if so, it counts as started.
    pub fn take(&mut self, now: Instant, loads_per_minute: u32) -> bool {
        if self.next.is_some_and(|next| now < next) {
            return false;
        }
        let rate = match loads_per_minute {
            0 => DEFAULT_LOADS_PER_MINUTE,
            given => given,
        };
        self.next = Some(now + MINUTE / rate);
        true
    }
}
