use hyper::body::Incoming;
use hyper::http::request;
use hyper::{Request, Response};

use super::body_reader::{self, BodyFault};
use super::call_surface::{GatewayBody, whole};
use super::forward_run::{ForwardRun, retry_after};
use super::gateway_node::{GatewayNode, GatewayView};
use super::request_context::RequestContext;
use super::{GatewayRefusal, NotRun, NotRunReason, request_admission};
use crate::prelude::*;

/// Time that a request waits for the first document of a daemon that has just
/// been started. After a loss of power everywhere control takes about a second
/// to find a leader; a caller that is sent away would come back no sooner.
const FIRST_DOCUMENT_TIME: Duration = Duration::from_millis(1_300);

/// Time for a caller's body, when the route leaves more.
const BODY_TIME: Duration = Duration::from_secs(5);

/// Serves one request of a caller.
pub(super) async fn serve(
    node: &Arc<GatewayNode>,
    request: Request<Incoming>,
) -> Response<GatewayBody> {
    let arrived = Instant::now();
    let (parts, body) = request.into_parts();
    node.wait_for_table(FIRST_DOCUMENT_TIME).await;
    let (view, context) = match admit(node, &parts, arrived) {
        Ok(admitted) => admitted,
        Err(refusal) => {
            let id = node.wire.read_caller(&parts).request_id;
            return refuse(node, &refusal, &id, "");
        }
    };
    let route = Arc::clone(&context.route);
    let id = Arc::clone(&context.id);
    match forward(node, &view, context, parts, body).await {
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
                ms = time.as_millis()
            );
            response
        }
        Err(refusal) => {
            let time = arrived.elapsed();
            node.metrics
                .record_request(&route.name, refusal.name(), time);
            refuse(node, &refusal, &id, &route.name)
        }
    }
}

/// Decides by what is in force now, which goes on counting for the request.
pub(super) fn admit(
    node: &GatewayNode,
    parts: &request::Parts,
    arrived: Instant,
) -> Result<(Arc<GatewayView>, RequestContext), GatewayRefusal> {
    let view = node.view.load_full();
    let context = request_admission::admit(node, &view, parts, arrived)?;
    Ok((view, context))
}

fn refuse(
    node: &GatewayNode,
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
        detail = format!("{refusal:?}")
    );
    node.wire.refusal(refusal, id).map(whole)
}

async fn forward(
    node: &Arc<GatewayNode>,
    view: &GatewayView,
    context: RequestContext,
    parts: request::Parts,
    body: Incoming,
) -> Result<Response<GatewayBody>, GatewayRefusal> {
    let not_run = |reason| GatewayRefusal::NotRun {
        proof: NotRun::unread(),
        reason,
        retry_after: retry_after(),
    };
    let limits = view.table.as_ref().map(|table| table.limits());
    let most = limits.unwrap_or_default().body_bytes;
    let time = context.remaining(Instant::now()).min(BODY_TIME);
    let body = match body_reader::read(body, most, time).await {
        Ok(body) => body,
        Err(BodyFault::TooLarge) => return Err(GatewayRefusal::BodyTooLarge),
        Err(BodyFault::Late) => return Err(not_run(NotRunReason::BodyLate)),
        Err(BodyFault::Broken) => return Err(GatewayRefusal::Malformed("the body broke off")),
    };
    node.note_first(&context.pool);
    ForwardRun::new(Arc::clone(node), context, parts, body)
        .serve()
        .await
}
