use crate::cost::WasteReason;
use crate::prelude::*;

/// Endpoint time of attempts that gave no result, summed by reason.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WasteTally {
    times: Vec<(WasteReason, Duration)>,
}

impl WasteTally {
    /// Creates a tally with one reason.
    pub fn from_reason(reason: WasteReason, time: Duration) -> Self {
        Self {
            times: vec![(reason, time)],
        }
    }

    /// Adds the time of one attempt.
    pub fn add(&mut self, reason: WasteReason, time: Duration) {
        match self.times.iter_mut().find(|(known, _)| *known == reason) {
            Some((_, sum)) => *sum += time,
            None => self.times.push((reason, time)),
        }
    }

    /// Returns the sum for each reason.
    pub fn times(&self) -> &[(WasteReason, Duration)] {
        &self.times
    }

    /// Returns the sum over all reasons.
    pub fn total(&self) -> Duration {
        self.times.iter().map(|(_, time)| *time).sum()
    }
}
