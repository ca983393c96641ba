use crate::prelude::*;

/// Endpoint time that each workspace used through this entry and that has not
/// been reported yet.
///
/// The estimated time is added when a stage starts, so that the report precedes
/// the end of a long stage, and corrected when it ends. A negative balance is
/// not reported; it is offset against later use.
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

    /// Returns and clears the positive balances, in no particular order.
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
