use crate::gateway::PoolRate;
use crate::prelude::*;

/// What a refused plan needs of a pool, and what the pool is expected to have to do.
#[derive(Clone, Debug, PartialEq)]
pub(in crate::gateway) struct PoolOutlook {
    pub(in crate::gateway) pool: Arc<str>,
    /// Endpoint time that the plan needs, in seconds.
    pub(in crate::gateway) work_seconds: f64,
    pub(in crate::gateway) rate: PoolRate,
    /// Endpoint time of the work that waits and goes first, and of the work in progress beyond
    /// what keeps the pool busy, in seconds.
    pub(in crate::gateway) backlog_seconds: f64,
    /// Rate at which work that goes first has arrived lately, as a number of endpoints.
    pub(in crate::gateway) recent_arrivals: f64,
    /// Usual rate at which work that goes first arrives, as a number of endpoints.
    pub(in crate::gateway) usual_arrivals: f64,
}

impl PoolOutlook {
    /// Number of endpoints that work which goes first is expected to leave free.
    pub(super) fn free_endpoints(&self, is_short: bool) -> f64 {
        let arrivals = match is_short {
            true => self.recent_arrivals.max(self.usual_arrivals),
            false => self.usual_arrivals,
        };
        (self.rate.endpoints - arrivals).max(0.0)
    }
}
