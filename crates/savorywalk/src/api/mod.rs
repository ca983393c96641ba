//! HTTP towards callers, operators and endpoints. Every call is described in
//! docs/API.md.

mod api_error;
mod api_surface;
mod caller_api;
mod endpoint_api;
mod http_server;
mod operator_api;
mod request_parts;
mod response_body;

pub use api_error::ApiError;
pub use api_surface::{ApiSurface, SurfaceKind};
pub use http_server::{HttpServer, ServerError};
pub use response_body::{ApiBody, ApiResponse};

/// Result of handling one call.
pub type Result<T> = std::result::Result<T, ApiError>;
