//! Paths from this entry to endpoints. See docs/design/endpoint-paths.md.

mod endpoint_connector;
mod endpoint_network;

pub(super) use endpoint_connector::EndpointConnector;
pub use endpoint_network::{EndpointNetwork, NetworkConnect, TcpNetwork};
