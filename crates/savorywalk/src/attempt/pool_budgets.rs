use super::RetryBudget;

/// Share of the successes that may be retried.
const RETRY_SHARE: f64 = 0.2;
/// Share of the successes that may be hedged: the slowest in twenty.
const HEDGE_SHARE: f64 = 0.05;

/// The extra attempts that one pool may get.
#[derive(Clone, Debug)]
pub struct PoolBudgets {
    /// For attempts after a failure or a stall.
    pub retry: RetryBudget,
    /// For second attempts beside a slow one.
    pub hedge: RetryBudget,
}

impl Default for PoolBudgets {
    fn default() -> Self {
        Self {
            retry: RetryBudget::new(RETRY_SHARE),
            hedge: RetryBudget::new(HEDGE_SHARE),
        }
    }
}

impl PoolBudgets {
    /// Counts a stage that gave its result.
    pub fn deposit(&mut self) {
        self.retry.deposit();
        self.hedge.deposit();
    }
}
