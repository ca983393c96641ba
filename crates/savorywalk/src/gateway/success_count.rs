use super::decaying_sum::DecayingSum;
use crate::prelude::*;

/// Time constant of the counts: a burst and the quiet period before it, so that a kind of
/// request that fell behind catches up before the next burst.
const COUNT_TIME_CONSTANT: Duration = Duration::from_secs(20);

/// Recent requests of one kind, and how many of them succeeded. The caller defines success,
/// for instance that the stages of a request were begun in time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SuccessCount {
    offered: DecayingSum,
    successes: DecayingSum,
}

impl SuccessCount {
    /// Counts a request.
    pub(super) fn add(&mut self, now: Instant, is_success: bool) {
        self.offered.add(now, 1.0, COUNT_TIME_CONSTANT);
        if is_success {
            self.successes.add(now, 1.0, COUNT_TIME_CONSTANT);
        }
    }

    /// Recent requests, with and without success.
    pub(super) fn offered(&self, now: Instant) -> f64 {
        self.offered.value(now, COUNT_TIME_CONSTANT)
    }
}

/// Share of the recent requests of some kinds that succeeded; 1 if there were none.
pub(super) fn share<'a>(now: Instant, counts: impl IntoIterator<Item = &'a SuccessCount>) -> f64 {
    let (mut successes, mut offered) = (0.0, 0.0);
    for count in counts {
        successes += count.successes.value(now, COUNT_TIME_CONSTANT);
        offered += count.offered(now);
    }
    match offered > 0.0 {
        true => successes / offered,
        false => 1.0,
    }
}
