//! Routing picks the endpoint for an attempt, so that no endpoint is
//! overloaded while another is idle. See docs/design/routing.md.

mod affinity_credit;
mod attempt_report;
mod candidate_cost;
mod candidate_sampler;
mod decayed_mean;
mod endpoint_health;
mod endpoint_router;
mod outstanding_table;
mod pool_health;
mod prefix_hints;
mod prompt_prefix;
mod route_query;
mod router_core;
mod routing_policy;
#[cfg(test)]
mod test_simulation;

pub use attempt_report::AttemptReport;
pub use endpoint_health::EndpointHealth;
pub use endpoint_router::EndpointRouter;
pub use outstanding_table::{OutstandingGuard, OutstandingTable};
pub use pool_health::PoolHealth;
pub use prefix_hints::PrefixHints;
pub use prompt_prefix::PromptPrefix;
pub use route_query::RouteQuery;
pub use router_core::RouterCore;
pub use routing_policy::RoutingPolicy;
