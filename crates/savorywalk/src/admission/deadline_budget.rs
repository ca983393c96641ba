use super::{RunForecast, StageEstimate};
use crate::prelude::*;

/// Time left for a new request, and the time that it is expected to need.
#[derive(Clone, Copy, Debug)]
pub struct DeadlineBudget {
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Expected time in the queues of its pools.
    pub wait: Duration,
    /// Expected time of its stages.
    pub forecast: RunForecast,
}

/// Whether a new request can meet its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetDecision {
    /// The request is likely to meet its deadline.
    Fits,
    /// The stages fit but the queues are too long. After this time they are short enough,
    /// unless more requests arrive.
    WaitTooLong(Duration),
    /// The stages alone take too long. After this time the estimates have expired.
    WorkTooLong(Duration),
}

impl DeadlineBudget {
    /// Compares the time needed with the time left.
    pub fn decision(&self) -> BudgetDecision {
        let work = self.forecast.likely();
        if work > self.remaining || self.remaining.is_zero() {
            return BudgetDecision::WorkTooLong(StageEstimate::LIFETIME);
        }
        let needed = work + self.wait;
        if needed > self.remaining {
            return BudgetDecision::WaitTooLong(needed - self.remaining);
        }
        BudgetDecision::Fits
    }
}
