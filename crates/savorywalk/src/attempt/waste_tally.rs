use crate::prelude::*;

/// Why endpoint time gave no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WasteReason {
    /// The attempt failed, or its answer was cut.
    Failed,
    /// The endpoint refused to run it.
    Refused,
    /// The attempt made no progress and another one answered.
    Stalled,
    /// The attempt was beside another one, which was faster.
    Hedged,
    /// The deadline passed while it ran.
    Expired,
}

/// Endpoint time of one stage that gave no result, by reason.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WasteTally {
    times: Vec<(WasteReason, Duration)>,
}

impl WasteReason {
    /// The label of its metric.
    pub fn label(self) -> &'static str {
        match self {
            Self::Failed => "failed",
            Self::Refused => "refused",
            Self::Stalled => "stalled",
            Self::Hedged => "hedged",
            Self::Expired => "expired",
        }
    }
}

impl WasteTally {
    /// Adds the time of one attempt.
    pub fn add(&mut self, reason: WasteReason, time: Duration) {
        match self.times.iter_mut().find(|(known, _)| *known == reason) {
            Some((_, sum)) => *sum += time,
            None => self.times.push((reason, time)),
        }
    }

    /// Sums by reason.
    pub fn times(&self) -> &[(WasteReason, Duration)] {
        &self.times
    }

    /// Sum over all reasons.
    pub fn total(&self) -> Duration {
        self.times.iter().map(|(_, time)| *time).sum()
    }
}
