//! HTTP towards callers, operators and endpoints. Every call is described in
//! docs/API.md.

mod answer_stream;
mod api_error;
mod api_handler;
mod body_limit;
mod bound_listener;
mod call_body;
mod caller_api;
mod client_body;
mod client_intake;
mod connection_acceptor;
mod connection_state;
mod connection_table;
mod endpoint_api;
mod http_handler;
mod http_server;
mod metered_stream;
mod operator_api;
mod request_parts;
mod response_body;
mod server_error;
mod tls_setup;

pub use api_error::ApiError;
pub use api_handler::{ApiHandler, ListenerKind};
pub(crate) use body_limit::BodyLimit;
pub use client_body::ClientBody;
pub(crate) use client_intake::ClientIntake;
pub use http_handler::{ConnectionLimits, HttpHandler};
pub use http_server::HttpServer;
pub use response_body::{ApiBody, ApiResponse, REQUEST_HEADER};
pub use server_error::ServerError;

/// Result of handling one call.
pub type Result<T> = std::result::Result<T, ApiError>;
