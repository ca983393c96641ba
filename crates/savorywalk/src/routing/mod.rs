//! Routing picks the endpoint for an attempt. See docs/design/routing.md.

mod endpoint_router;
mod outstanding_table;
mod routing_policy;

pub use endpoint_router::{EndpointRouter, RouteQuery};
pub use outstanding_table::{OutstandingGuard, OutstandingTable};
pub use routing_policy::RoutingPolicy;
