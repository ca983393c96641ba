//! Paths from this entry to endpoints: its own connections, and connections that another entry
//! relays when its own ones fail. See docs/design/endpoint-paths.md.

mod endpoint_connector;
mod endpoint_network;
mod endpoint_stream;
mod path_prober;
mod path_table;
mod relay_client;
mod relay_service;
mod relay_table;

pub(super) use endpoint_connector::EndpointConnector;
pub use endpoint_network::{EndpointNetwork, NetworkConnect, TcpNetwork};
pub(super) use endpoint_stream::EndpointStream;
pub(super) use relay_service::RelayService;
pub(super) use {path_prober::run as run_prober, relay_service::run as run_relays};
