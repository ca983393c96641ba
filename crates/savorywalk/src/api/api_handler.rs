use hyper::{Method, Request, StatusCode};

use super::request_parts::{self, RequestHead};
use super::{
    ApiBody, ApiError, ApiResponse, BodyLimit, ClientBody, HttpHandler, Result, caller_api,
    endpoint_api, operator_api, response_body,
};
use crate::attempt::RequestId;
use crate::entry::{EntryNode, ReadinessState};
use crate::prelude::*;
use crate::settings::ListenerSettings;

/// Who a listener is for; each takes its own calls alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerKind {
    /// Callers of pipelines.
    Callers,
    /// Operators.
    Operators,
    /// Endpoints that announce themselves.
    Endpoints,
}

impl ListenerKind {
    /// Name of the listener's section in the settings.
    pub fn name(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Operators => "operators",
            Self::Endpoints => "endpoints",
        }
    }
}

/// Times that the fields of a head are kept: as received, and as read.
const HEAD_COPIES: usize = 2;

/// Handles the calls of one listener.
#[derive(Clone, Debug)]
pub struct ApiHandler {
    kind: ListenerKind,
    node: Arc<EntryNode>,
    body_limit: BodyLimit,
    max_header_bytes: u32,
}

impl ApiHandler {
    /// The handler of `kind` before `node`, with the limits of its listener.
    pub fn new(kind: ListenerKind, node: Arc<EntryNode>, settings: &ListenerSettings) -> Self {
        Self {
            kind,
            body_limit: BodyLimit {
                bytes: settings.max_body_bytes,
                timeout: Duration::from_millis(settings.body_timeout_ms.into()),
                memory: Arc::clone(node.request_memory()),
            },
            max_header_bytes: settings.max_header_bytes,
            node,
        }
    }

    async fn route(&self, id: RequestId, request: Request<ClientBody>) -> Result<ApiResponse> {
        let (head, body) = request_parts::split(request);
        let limit = self.max_header_bytes;
        if head.header_bytes() > limit as usize {
            return Err(ApiError::HeaderTooLarge { limit });
        }
        if let Some(response) = self.common(&head)? {
            return Ok(response);
        }
        let node = &self.node;
        let limit = self.body_limit.clone();
        let mut head_hold = limit.hold();
        let head_bytes = head.header_bytes() * HEAD_COPIES;
        head_hold.grow(head_bytes)?;
        match self.kind {
            ListenerKind::Callers => caller_api::handle(node, id, &head, body, limit).await,
            ListenerKind::Operators => operator_api::handle(node, &head, body, limit).await,
            ListenerKind::Endpoints => endpoint_api::handle(node, &head, body, limit).await,
        }
    }

    /// Calls that every listener takes.
    fn common(&self, head: &RequestHead) -> Result<Option<ApiResponse>> {
        let response = match head.path.as_str() {
            "/healthz" => response_body::text(StatusCode::OK, "ok\n"),
            "/readyz" if self.node.is_ready() => response_body::text(StatusCode::OK, "ready\n"),
            "/readyz" => response_body::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            "/metrics" => self.metrics()?,
            _ => return Ok(None),
        };
        head.require(&Method::GET, "GET")?;
        Ok(Some(response))
    }

    fn metrics(&self) -> Result<ApiResponse> {
        match self.node.metrics().text() {
            Ok(text) => Ok(response_body::text(StatusCode::OK, text)),
            Err(error) => Err(ApiError::Unavailable(error.to_string())),
        }
    }
}

impl HttpHandler for ApiHandler {
    type Body = ApiBody;

    /// Answers one call; an error becomes its JSON form. While the daemon is
    /// not ready, each answer closes its connection, so that callers move on
    /// before the listener closes.
    async fn handle(&self, request: Request<ClientBody>) -> ApiResponse {
        let id = RequestId::random();
        let version = request.version();
        let mut response = match self.route(id, request).await {
            Ok(response) => {
                self.node.metrics().record_call(self.kind.name(), "ok");
                response
            }
            Err(error) => {
                let metrics = self.node.metrics();
                metrics.record_call(self.kind.name(), error.kind());
                log_event!(
                    debug,
                    "call_refused",
                    request = id,
                    kind = error.kind(),
                    message = error
                );
                response_body::error(&error, id)
            }
        };
        response_body::name_request(&mut response, id);
        if self.node.readiness() == ReadinessState::Stopping {
            response_body::close_connection(&mut response, version);
        }
        response
    }

    fn refuse_connection(&self, limit: u32) -> ApiResponse {
        let error = ApiError::TooManyConnections { limit };
        response_body::error(&error, RequestId::random())
    }
}
