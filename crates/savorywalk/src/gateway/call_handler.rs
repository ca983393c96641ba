use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, Response, StatusCode};

use super::gateway_node::GatewayNode;
use super::metrics_page::{self, METRICS_PATH};
use super::request_service;
use crate::api::{ClientBody, ConnectionLimits, HttpHandler};
use crate::prelude::*;

/// Why the body of an answer could not be completed; the connection then ends early.
pub(super) type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Body of an answer, complete or streamed.
pub(super) type GatewayBody = UnsyncBoxBody<Bytes, BodyError>;

/// Creates the body of an answer that is sent at once.
pub(super) fn full_body(body: Bytes) -> GatewayBody {
    Full::new(body)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Handles callers' requests, or the platform's readiness and metrics probes.
#[derive(Clone, Debug)]
pub(super) struct CallHandler {
    pub(super) node: Arc<GatewayNode>,
    pub(super) kind: CallHandlerKind,
}

/// Purpose of a listener of the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallHandlerKind {
    /// Requests of callers.
    Callers,
    /// Probes of readiness and metrics.
    Probes,
}

impl HttpHandler for CallHandler {
    type Body = GatewayBody;

    async fn handle(&self, request: Request<ClientBody>) -> Response<Self::Body> {
        match self.kind {
            CallHandlerKind::Probes => self.probe(&request.into_parts().0),
            CallHandlerKind::Callers => {
                let mut response = request_service::serve(&self.node, request).await;
                if self.node.stop.has_begun() {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                response
            }
        }
    }

    fn connection_limits(&self) -> Option<ConnectionLimits> {
        let view = self.node.view.load();
        let limits = view.table.as_ref().map(|table| table.limits());
        Some(limits.unwrap_or_default().connection_limits())
    }

    fn refuse_connection(&self, _limit: u32) -> Response<Self::Body> {
        let mut response = Response::new(full_body(Bytes::new()));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        response
    }
}

impl CallHandler {
    fn probe(&self, head: &hyper::http::request::Parts) -> Response<GatewayBody> {
        let node = &self.node;
        if head.uri.path() == METRICS_PATH {
            return metrics_page::answer(&node.metric_set);
        }
        let mut response = Response::new(full_body(Bytes::new()));
        let is_ready = node.wire.asks_readiness(head) && node.is_ready();
        if !is_ready {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    }
}
