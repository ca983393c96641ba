use hyper::body::Body;
use hyper::{Request, Response};

use super::ClientBody;
use crate::prelude::*;

/// Limits on what a connection sends between calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Largest head of a request, with its line, in bytes.
    pub head_bytes: usize,
    /// Longest time from the first byte of a head to its end.
    pub head_time: Duration,
    /// Longest time without a request.
    pub idle_time: Duration,
}

/// What answers the calls of one listener.
pub trait HttpHandler: Clone + Send + Sync + 'static {
    /// Body of its answers; an error in it ends the connection early.
    type Body: Body<Data = Bytes, Error: Into<Box<dyn std::error::Error + Send + Sync>>>
        + Send
        + Unpin
        + 'static;

    /// Answers one call.
    fn handle(
        &self,
        request: Request<ClientBody>,
    ) -> impl Future<Output = Response<Self::Body>> + Send;

    /// Limits of a connection that is accepted now, if they are not those of the listener's settings.
    fn connection_limits(&self) -> Option<ConnectionLimits> {
        None
    }

    /// The answer on a connection over the limit, which is then closed.
    fn refuse_connection(&self, limit: u32) -> Response<Self::Body>;
}
