use crate::prelude::*;

/// Looks remembered; with one a minute, more than the longest time asked for has.
const MAX_LOOKS: usize = 128;

/// How long ago the log was at which index, by the steady clock of one daemon. Times of
/// day jump and differ between daemons, so the log holds none; a daemon that has just
/// started knows no ages and forgets nothing too early.
#[derive(Clone, Debug, Default)]
pub struct IndexAges {
    looks: VecDeque<(Instant, u64)>,
}

impl IndexAges {
    /// Notes where the log is now.
    pub fn look(&mut self, now: Instant, index: u64) {
        self.looks.push_back((now, index));
        if self.looks.len() > MAX_LOOKS {
            self.looks.pop_front();
        }
    }

    /// The last index that is known to be at least `age` old; 0 when none is.
    pub fn older_than(&self, now: Instant, age: Duration) -> u64 {
        let mut looks = self.looks.iter().rev();
        let old = looks.find(|(at, _)| now.saturating_duration_since(*at) >= age);
        old.map_or(0, |(_, index)| *index)
    }
}

#[cfg(test)]
#[path = "index_ages_tests.rs"]
mod tests;
