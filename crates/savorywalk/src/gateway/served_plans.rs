use tokio::sync::watch;

use crate::prelude::*;

/// Counts the plans that this entry executes for others.
#[derive(Debug, Default)]
pub(super) struct ServedPlans {
    count: watch::Sender<usize>,
}

/// Counts one plan until it is dropped.
#[derive(Debug)]
pub(super) struct PlanGuard<'a>(&'a ServedPlans);

impl Drop for PlanGuard<'_> {
    fn drop(&mut self) {
        self.0.count.send_modify(|count| *count -= 1);
    }
}

impl ServedPlans {
    pub(super) fn begin(&self) -> PlanGuard<'_> {
        self.count.send_modify(|count| *count += 1);
        PlanGuard(self)
    }

    /// Waits until all plans are answered, for `timeout` at most. A plan that is cut off is begun
    /// again by another entry, from its first stage.
    pub(super) async fn drain(&self, timeout: Duration) {
        let mut count = self.count.subscribe();
        let draining = count.wait_for(|count| *count == 0);
        if tokio::time::timeout(timeout, draining).await.is_err() {
            log_event!(info, "served_plans_cut", count = *self.count.borrow());
        }
    }
}

#[cfg(test)]
#[path = "served_plans_tests.rs"]
mod tests;
