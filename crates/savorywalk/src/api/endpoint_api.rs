//! Endpoints' announcements.

use hyper::{Method, StatusCode};

use super::request_parts::{self, RequestHead};
use super::{ApiError, ApiResponse, BodyLimit, ClientBody, Result, response_body};
use crate::directory::{AnnouncementOutcome, EndpointAnnouncement, MAX_SPREAD_LEASE};
use crate::entry::EntryNode;
use crate::prelude::*;

#[derive(Serialize)]
struct AnnouncementAnswer<'a> {
    entry: &'a str,
    applied: bool,
    lease_ms: u64,
}

pub(super) async fn handle(
    node: &EntryNode,
    head: &RequestHead,
    body: ClientBody,
    body_limit: BodyLimit,
) -> Result<ApiResponse> {
    let configuration = node.configuration().load();
    let credential = configuration.endpoint_credential_of(head.token()?);
    credential.ok_or(ApiError::Unauthorized)?;
    if head.path != "/v1/endpoints" {
        let message = "no such path; endpoints use POST /v1/endpoints";
        return Err(ApiError::NotFound(message.into()));
    }
    head.require(&Method::POST, "POST")?;
    let mut hold = body_limit.hold();
    let body = request_parts::read_body(body, body_limit).await?;
    let announcement: EndpointAnnouncement = request_parts::parse_json(&body, &mut hold)?;
    let max_lease = configuration.max_lease.min(MAX_SPREAD_LEASE);
    let lease = Duration::from_millis(announcement.lease_ms.into()).min(max_lease);
    let (endpoint, cache_events) = (
        announcement.endpoint.clone(),
        announcement.cache_events.clone(),
    );
    let outcome = node
        .directory()
        .announce(announcement, configuration.max_lease)
        .await;
    let Some(outcome) = outcome else {
        let message = "the daemon is stopping; announce to another entry";
        return Err(ApiError::Unavailable(message.into()));
    };
    let applied = outcome? == AnnouncementOutcome::Applied;
    if applied {
        node.apply_cache_events(&endpoint, &cache_events);
    }
    let answer = AnnouncementAnswer {
        entry: node.name(),
        applied,
        lease_ms: lease.as_millis() as u64,
    };
    Ok(response_body::json(StatusCode::OK, &answer))
}
