use super::RetryBudget;

/// Retries allowed for each stage that succeeds.
const RETRY_SHARE: f64 = 0.2;
/// Hedges allowed for each stage that succeeds: enough for the slowest one in
/// twenty.
const HEDGE_SHARE: f64 = 0.05;

/// Budgets for the extra attempts of one pool.
#[derive(Clone, Debug)]
pub struct PoolBudgets {
    /// Budget for attempts after a failure or a stall.
    pub retry: RetryBudget,
    /// Budget for second attempts in parallel with a slow one.
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
    /// Counts a successful stage towards both budgets.
    pub fn deposit(&mut self) {
        self.retry.deposit();
        self.hedge.deposit();
    }
}
