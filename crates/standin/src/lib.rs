//! Small stand-ins for the systems that savorywalk meets: model engines, stage
//! pools, plain services. They speak the formats of docs/ENDPOINTS.md and can
//! be told to misbehave. They are fakes at the interface, not a simulator.

mod announcer;
mod deployment;
mod endpoint_server;
mod endpoint_work;
mod fault_switch;
mod standin_options;

pub use announcer::{AnnounceTarget, start_announcer};
pub use deployment::{Deployment, DeploymentPlan, PlannedEndpoint, token_for};
pub use endpoint_server::{EndpointServer, StandinError};
pub use endpoint_work::EndpointCounts;
pub use fault_switch::{EndpointFault, FaultSwitch};
pub use standin_options::{StandinKind, StandinOptions};

/// Result of this crate's fallible calls.
pub type Result<T> = std::result::Result<T, StandinError>;
