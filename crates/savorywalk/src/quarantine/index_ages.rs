use crate::prelude::*;

/// Number of observations kept. With one a minute they cover more than two hours, longer than
/// any age that is asked for.
const MAX_OBSERVATIONS: usize = 128;

/// Ages of log indexes, measured by the monotonic clock of one daemon.
///
/// The log itself holds no wall-clock times, because they jump and differ between daemons. A
/// daemon that has just started has no observations, so it can't remove a record too early.
#[derive(Clone, Debug, Default)]
pub struct IndexAges {
    observations: VecDeque<(Instant, u64)>,
}

impl IndexAges {
    /// Records that the log is at `index` now.
    pub fn record(&mut self, now: Instant, index: u64) {
        self.observations.push_back((now, index));
        if self.observations.len() > MAX_OBSERVATIONS {
            self.observations.pop_front();
        }
    }

    /// The highest index that was observed at least `age` ago; 0 if there is none.
    pub fn index_at_age(&self, now: Instant, age: Duration) -> u64 {
        let mut observations = self.observations.iter().rev();
        let old = observations.find(|(at, _)| now.saturating_duration_since(*at) >= age);
        old.map_or(0, |(_, index)| *index)
    }
}

#[cfg(test)]
#[path = "index_ages_tests.rs"]
mod tests;
