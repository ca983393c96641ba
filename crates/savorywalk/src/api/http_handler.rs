use hyper::body::{Body, Incoming};
use hyper::{Request, Response};

use crate::prelude::*;

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
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Self::Body>> + Send;

    /// Largest head of a request on a connection that is accepted now, in bytes, if it is not that of
    /// the listener's settings.
    fn max_head_bytes(&self) -> Option<usize> {
        None
    }

    /// The answer on a connection over the limit, which is then closed.
    fn refuse_connection(&self, limit: u32) -> Response<Self::Body>;
}
