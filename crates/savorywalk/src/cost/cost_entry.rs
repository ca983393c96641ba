use super::WasteReason;
use crate::prelude::*;

/// Sums of cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct CostEntry {
    /// Stages that gave a result.
    pub results: u64,
    /// Endpoint time that went into answers, in seconds.
    pub endpoint_seconds: f64,
    /// Endpoint time that went into none, in seconds.
    pub wasted_seconds: f64,
    /// The same by reason.
    pub waste: WasteSeconds,
    /// Tokens read and written.
    pub tokens: u64,
}

/// Wasted endpoint time by reason, in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct WasteSeconds {
    /// An attempt failed, or its request did after it.
    pub failed_attempt: f64,
    /// Another attempt of the same stage was faster.
    pub lost_hedge: f64,
    /// The deadline passed.
    pub late: f64,
    /// The caller left.
    pub cancelled: f64,
}

impl CostEntry {
    /// Adds all sums of `other`.
    pub fn add(&mut self, other: &Self) {
        self.results += other.results;
        self.endpoint_seconds += other.endpoint_seconds;
        self.wasted_seconds += other.wasted_seconds;
        self.tokens += other.tokens;
        self.waste.failed_attempt += other.waste.failed_attempt;
        self.waste.lost_hedge += other.waste.lost_hedge;
        self.waste.late += other.waste.late;
        self.waste.cancelled += other.waste.cancelled;
    }

    /// Adds endpoint time that gave no answer.
    pub fn add_waste(&mut self, reason: WasteReason, time: Duration) {
        let seconds = time.as_secs_f64();
        self.wasted_seconds += seconds;
        *self.waste.of_mut(reason) += seconds;
    }
}

impl WasteSeconds {
    /// The sum of one reason.
    pub fn of(&self, reason: WasteReason) -> f64 {
        match reason {
            WasteReason::FailedAttempt => self.failed_attempt,
            WasteReason::LostHedge => self.lost_hedge,
            WasteReason::Late => self.late,
            WasteReason::Cancelled => self.cancelled,
        }
    }

    fn of_mut(&mut self, reason: WasteReason) -> &mut f64 {
        match reason {
            WasteReason::FailedAttempt => &mut self.failed_attempt,
            WasteReason::LostHedge => &mut self.lost_hedge,
            WasteReason::Late => &mut self.late,
            WasteReason::Cancelled => &mut self.cancelled,
        }
    }
}
