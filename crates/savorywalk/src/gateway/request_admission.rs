use hyper::http::request;
use rand::RngExt;

use super::gateway_node::GatewayNode;
use super::gateway_view::AgedView;
use super::request_context::RequestContext;
use super::{
    GatewayRefusal, NotRun, NotRunReason, RouteRule, RouteTable, head_limits, request_rank,
    turn_rank,
};
use crate::prelude::*;

/// Retry time given by an entry that has no fresh document; by then other entries serve its
/// callers.
const NOT_READY_RETRY: Duration = Duration::from_millis(700);

/// Smallest part of a route's timeout that callers allow at their first try, in
/// thousandths. In the grown deployments they allow 850 to 1,000.
const MIN_FIRST_WAIT_PERMILLE: u32 = 800;

/// Admits a request: determines its route, its workspace and its deadline.
pub(super) fn admit(
    node: &GatewayNode,
    aged_view: &AgedView,
    parts: &request::Parts,
    arrived: Instant,
) -> Result<RequestContext, GatewayRefusal> {
    let not_ready = |reason| GatewayRefusal::NotRun {
        proof: NotRun::for_unsent(),
        reason,
        retry_after: Some(NOT_READY_RETRY),
    };
    let Some(table) = &aged_view.view.table else {
        return Err(not_ready(NotRunReason::NoDocument));
    };
    let head = node.wire.read_caller(parts);
    if head.request_id.is_empty() {
        return Err(GatewayRefusal::Malformed("the request has no identity"));
    }
    head_limits::check(&head, &node.head_limits).map_err(|excess| {
        node.metrics.record_head_refusal(excess.limit());
        GatewayRefusal::Malformed(excess.reason())
    })?;
    let route = table.find(&head.host, parts.uri.path());
    let Some(route) = route else {
        // The route may have been added since, so only an entry with fresh routes reports
        // it as unknown.
        return Err(match node.has_fresh_keys(aged_view) {
            true => GatewayRefusal::UnknownRoute,
            false => not_ready(NotRunReason::StaleKeys),
        });
    };
    let mut workspace = None;
    if table.needs_keys() && !route.is_open {
        if !node.has_fresh_keys(aged_view) {
            return Err(not_ready(NotRunReason::StaleKeys));
        }
        let key = head.key.as_deref().ok_or(GatewayRefusal::BadKey)?;
        let owner = table.workspace_of(key).ok_or(GatewayRefusal::BadKey)?;
        workspace = Some(Arc::clone(owner));
    }
    let time = head
        .remaining
        .map_or(route.timeout, |remaining| remaining.min(route.timeout));
    let rank = workspace.as_ref().and_then(|workspace| workspace.rank);
    let workspace_regions = workspace
        .as_ref()
        .map(|workspace| &*workspace.allowed_regions);
    let allowed_regions = [
        &*route.allowed_regions,
        workspace_regions.unwrap_or_default(),
    ];
    let data_center_filter = node.region_map.data_center_filter(allowed_regions);
    Ok(RequestContext {
        id: head.request_id.as_str().into(),
        pool: route.pool_for(rand::rng().random()).to_string(),
        caller: caller_name(table, head.key.as_deref()),
        workspace: workspace.map(|workspace| workspace.name.clone()),
        rank: request_rank(rank, route.rank),
        turn_rank: turn_rank(rank),
        due: due_time(route, arrived, time),
        deadline: arrived + time,
        is_returning: is_returning(route, time),
        data_center_filter,
        route: Arc::clone(route),
        head,
    })
}

/// Name of the request's workspace, or its key if that is unknown, or nothing without a
/// key. It is set on open routes too, so that one caller's request is never taken for
/// another's.
fn caller_name(table: &RouteTable, key: Option<&str>) -> String {
    let Some(key) = key else {
        return String::new();
    };
    let owner = table.workspace_of(key);
    owner.map_or_else(|| key.to_string(), |owner| owner.name.clone())
}

/// Time by which a request should be answered. A caller that allows much less than the
/// route's timeout has most likely spent the rest in an earlier try, and its objective
/// counts from that try.
fn due_time(route: &RouteRule, arrived: Instant, left: Duration) -> Instant {
    if !is_returning(route, left) {
        return arrived + route.objective;
    }
    let used = route.timeout.saturating_sub(left);
    arrived + route.objective.saturating_sub(used)
}

/// Whether a caller with `left` time has most likely tried before. Callers also differ in
/// how long they wait, so a small difference does not count.
fn is_returning(route: &RouteRule, left: Duration) -> bool {
    left < route.timeout * MIN_FIRST_WAIT_PERMILLE / 1_000
}

#[cfg(test)]
#[path = "request_admission_tests.rs"]
mod tests;
