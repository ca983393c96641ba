use hyper::http::request;
use hyper::{Request, Response};

use super::body_reader::{self, BodyReadError};
use super::call_handler::{GatewayBody, full_body};
use super::forward_run::{ForwardRun, retry_after};
use super::gateway_node::GatewayNode;
use super::gateway_view::{AgedView, GatewayView};
use super::request_context::RequestContext;
use super::{GatewayRefusal, NotRun, NotRunReason, request_admission};
use crate::api::ClientBody;
use crate::prelude::*;

/// Longest wait of a request for the first document of a daemon that has just started.
/// After a power loss everywhere, control takes about a second to elect a leader; a refused
/// caller would not be served sooner.
const FIRST_DOCUMENT_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Longest time for reading a caller's body; the request's deadline may be earlier.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Memory of the state of one request and of its connection to an endpoint, in bytes.
const REQUEST_COST: usize = 40 << 10;

/// Times that the fields of a head are kept: as received, and as read.
const HEAD_COPIES: usize = 2;

/// Serves one request of a caller.
pub(super) async fn serve(
    node: &Arc<GatewayNode>,
    request: Request<ClientBody>,
) -> Response<GatewayBody> {
    let arrived = Instant::now();
    let (parts, body) = request.into_parts();
    node.wait_for_table(FIRST_DOCUMENT_TIMEOUT).await;
    let aged_view = node.aged_view();
    let context = match request_admission::admit(node, &aged_view, &parts, arrived) {
        Ok(context) => context,
        Err(refusal) => {
            let id = node.wire.read_caller(&parts).request_id;
            return refuse(node, &aged_view, &refusal, &id, "");
        }
    };
    let route = Arc::clone(&context.route);
    let id = Arc::clone(&context.id);
    match forward(node, &aged_view.view, context, parts, body).await {
        Ok(response) => {
            let status = response.status();
            let outcome = match status.is_success() {
                true => "answered",
                false => "endpoint_failed",
            };
            let time = arrived.elapsed();
            node.metrics.record_request(&route.name, outcome, time);
            log_event!(
                debug,
                "request_answered",
                request = id,
                route = route.name,
                status = status.as_u16(),
                document = aged_view.view.document(),
                ms = time.as_millis()
            );
            response
        }
        Err(refusal) => {
            let time = arrived.elapsed();
            node.metrics
                .record_request(&route.name, refusal.name(), time);
            refuse(node, &aged_view, &refusal, &id, &route.name)
        }
    }
}

fn refuse(
    node: &GatewayNode,
    aged_view: &AgedView,
    refusal: &GatewayRefusal,
    id: &str,
    route: &str,
) -> Response<GatewayBody> {
    log_event!(
        info,
        "request_refused",
        request = id,
        route = route,
        reason = refusal.name(),
        document = aged_view.view.document(),
        age_ms = age_text(aged_view.age),
        detail = format!("{refusal:?}")
    );
    node.wire.refusal(refusal, id).map(full_body)
}

/// Age of a view in milliseconds, for logs.
fn age_text(age: Option<Duration>) -> String {
    age.map_or_else(|| "none".into(), |age| age.as_millis().to_string())
}

/// Memory that a request takes beside its body, in bytes.
fn head_cost(parts: &request::Parts) -> usize {
    let headers = parts.headers.iter();
    let bytes = headers.map(|(name, value)| name.as_str().len() + value.len());
    REQUEST_COST + bytes.sum::<usize>() * HEAD_COPIES
}

async fn forward(
    node: &Arc<GatewayNode>,
    view: &GatewayView,
    context: RequestContext,
    parts: request::Parts,
    body: ClientBody,
) -> Result<Response<GatewayBody>, GatewayRefusal> {
    let not_run = |reason| GatewayRefusal::NotRun {
        proof: NotRun::for_unsent(),
        reason,
        retry_after: Some(retry_after()),
    };
    let limits = view.table.as_ref().map(|table| table.limits());
    let max_bytes = limits.unwrap_or_default().body_bytes;
    let timeout = context.remaining(Instant::now()).min(BODY_TIMEOUT);
    let mut hold = node.request_memory.hold();
    if hold.resize(head_cost(&parts)).is_err() {
        return Err(not_run(NotRunReason::MemoryFull));
    }
    let body = match body_reader::read(body, max_bytes, timeout, hold).await {
        Ok(body) => body,
        Err(BodyReadError::TooLarge) => return Err(GatewayRefusal::BodyTooLarge),
        Err(BodyReadError::TimedOut) => return Err(not_run(NotRunReason::BodyLate)),
        Err(BodyReadError::MemoryFull) => return Err(not_run(NotRunReason::MemoryFull)),
        Err(BodyReadError::Failed) => return Err(GatewayRefusal::Malformed("the body broke off")),
    };
    let token = node.retry_gate.admit(&context.pool);
    ForwardRun::new(Arc::clone(node), context, parts, body, token)
        .serve()
        .await
}
