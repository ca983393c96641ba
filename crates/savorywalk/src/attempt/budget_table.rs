use std::sync::{Mutex, PoisonError};

use super::PoolBudgets;
use crate::prelude::*;

/// The budgets of all pools; the configuration bounds their number.
#[derive(Debug, Default)]
pub struct BudgetTable {
    pools: Mutex<FastMap<String, PoolBudgets>>,
}

impl BudgetTable {
    /// Lets `decide` take from the budgets of `pool`.
    pub fn with<T>(&self, pool: &str, decide: impl FnOnce(&mut PoolBudgets) -> T) -> T {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        match pools.get_mut(pool) {
            Some(budgets) => decide(budgets),
            None => decide(pools.entry(pool.to_string()).or_default()),
        }
    }
}
