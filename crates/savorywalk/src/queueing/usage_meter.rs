use crate::prelude::*;

/// Endpoint time that this entry gave each workspace and has not reported yet.
///
/// Time is counted by estimate at a stage's turn, so that others hear of a
/// long stage while it runs, and corrected at its end. A balance below zero is
/// kept back until later use makes up for it.
#[derive(Debug, Default)]
pub(super) struct UsageMeter {
    micros: FastMap<Arc<str>, i64>,
}

impl UsageMeter {
    pub(super) fn charge(&mut self, workspace: &Arc<str>, cost: Duration) {
        *self.balance(workspace) += micros(cost);
    }

    pub(super) fn correct(&mut self, workspace: &Arc<str>, estimate: Duration, actual: Duration) {
        *self.balance(workspace) += micros(actual) - micros(estimate);
    }

    /// What is to be reported, in no order.
    pub(super) fn drain(&mut self) -> Vec<(Arc<str>, u64)> {
        let mut reported = Vec::new();
        self.micros.retain(|workspace, balance| {
            let Ok(positive) = u64::try_from(*balance) else {
                return true;
            };
            if positive > 0 {
                reported.push((Arc::clone(workspace), positive));
            }
            false
        });
        reported
    }

    fn balance(&mut self, workspace: &Arc<str>) -> &mut i64 {
        self.micros.entry(Arc::clone(workspace)).or_default()
    }
}

fn micros(cost: Duration) -> i64 {
    i64::try_from(cost.as_micros()).unwrap_or(i64::MAX)
}
