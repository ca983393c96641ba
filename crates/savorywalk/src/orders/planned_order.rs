use super::{EndpointView, OrderAction, OrderKind, pool_plan::PoolPlan};
use crate::configuration::Configuration;
use crate::prelude::*;

/// An order that would bring the deployment nearer to its configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedOrder {
    /// The endpoint.
    pub endpoint: String,
    /// Incarnation that the plan was made for.
    pub incarnation: u64,
    /// Pool that it serves.
    pub pool: String,
    /// What it shall do.
    pub action: OrderAction,
}

impl PlannedOrder {
    /// Whether it reads from the weight store.
    pub fn is_load(&self) -> bool {
        match &self.action.action {
            Some(OrderKind::Load(_) | OrderKind::LoadAdapter(_)) => true,
            Some(OrderKind::Unload(_) | OrderKind::UnloadAdapter(_) | OrderKind::ChangeRole(_))
            | None => false,
        }
    }
}

/// Plans for every pool, by name of the pool; `busy` holds the endpoints with
/// an order outstanding.
pub fn plan_orders(
    configuration: &Configuration,
    endpoints: &[EndpointView],
    busy: &BTreeSet<&str>,
) -> Vec<PlannedOrder> {
    let pools = configuration.pools.iter();
    let plans = pools.flat_map(|(name, pool)| {
        PoolPlan::new(configuration, name, endpoints, busy).orders(&pool.role)
    });
    plans.collect()
}

#[cfg(test)]
#[path = "planned_order_tests.rs"]
mod tests;
