use std::sync::{Mutex, PoisonError};

use super::PoolBudgets;
use crate::prelude::*;

/// Retry and hedge budgets of all pools. The configuration bounds the number of
/// pools.
#[derive(Debug, Default)]
pub struct BudgetTable {
    pools: Mutex<FastMap<String, PoolBudgets>>,
}

impl BudgetTable {
    /// Runs `decide` on the budgets of `pool`, under the lock of the table.
    /// Creates full budgets on the first use of a pool.
    pub fn with<T>(&self, pool: &str, decide: impl FnOnce(&mut PoolBudgets) -> T) -> T {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        match pools.get_mut(pool) {
            Some(budgets) => decide(budgets),
            None => decide(pools.entry(pool.to_string()).or_default()),
        }
    }
}
