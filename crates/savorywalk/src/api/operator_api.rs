//! Operators' calls: configuration, its history, the audit trail and status.

use hyper::header::{ETAG, HeaderValue, IF_MATCH};
use hyper::{Method, StatusCode};

use super::request_parts::{self, RequestHead};
use super::{ApiError, ApiResponse, BodyLimit, ClientBody, Result, response_body};
use crate::attempt::RequestId;
use crate::control::{ControlStatus, PatchChange, PatchCommand, PatchVerdict, RangeQuery};
use crate::entry::{EntryNode, EntryStatus};
use crate::http_bodies::parsed_size;
use crate::prelude::*;

const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Records in an answer when the operator doesn't say how many.
const DEFAULT_LIMIT: u64 = 100;

/// The answer to a change.
#[derive(Serialize)]
struct ChangeAnswer {
    version: u64,
}

/// The body of a rollback.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RollbackRequest {
    to: u64,
}

/// What this daemon and control tell of themselves.
#[derive(Serialize)]
struct StatusAnswer {
    #[serde(flatten)]
    entry: EntryStatus,
    control_mode: &'static str,
    /// Absent while control can't be read.
    control: Option<ControlStatus>,
}

pub(super) async fn handle(
    node: &EntryNode,
    head: &RequestHead,
    body: ClientBody,
    body_limit: BodyLimit,
) -> Result<ApiResponse> {
    let configuration = node.configuration().load();
    let operator = configuration.operator_of(head.token()?);
    let operator = operator.ok_or(ApiError::Unauthorized)?;
    match head.path.as_str() {
        "/v1/config" if head.method == Method::PATCH => {
            let expected_version = expected_version(head)?;
            let mut hold = body_limit.hold();
            let body = request_parts::read_body(body, body_limit).await?;
            hold.grow(parsed_size(&body))?;
            let command = PatchCommand {
                patch_id: patch_id(head)?,
                author: operator.to_string(),
                expected_version,
                change: Some(PatchChange::MergeJson(body)),
            };
            change(node, command).await
        }
        "/v1/config" => {
            head.require(&Method::GET, "GET or PATCH")?;
            let response = response_body::json(StatusCode::OK, &configuration.source);
            Ok(with_version(response, configuration.version))
        }
        "/v1/config/rollback" => {
            head.require(&Method::POST, "POST")?;
            let expected_version = expected_version(head)?;
            let mut hold = body_limit.hold();
            let body = request_parts::read_body(body, body_limit).await?;
            let request: RollbackRequest = request_parts::parse_json(&body, &mut hold)?;
            let command = PatchCommand {
                patch_id: patch_id(head)?,
                author: operator.to_string(),
                expected_version,
                change: Some(PatchChange::RollbackTo(request.to)),
            };
            change(node, command).await
        }
        "/v1/config/history" => {
            head.require(&Method::GET, "GET")?;
            let history = node.control().history(range(head)?).await?;
            Ok(response_body::json(StatusCode::OK, &history))
        }
        "/v1/audit" => {
            head.require(&Method::GET, "GET")?;
            let audit = node.control().audit(range(head)?).await?;
            Ok(response_body::json(StatusCode::OK, &audit))
        }
        "/v1/status" => {
            head.require(&Method::GET, "GET")?;
            Ok(response_body::json(StatusCode::OK, &status(node).await))
        }
        _ => {
            let message = "no such path; operators use /v1/config, /v1/config/history, /v1/config/rollback, /v1/audit and /v1/status";
            Err(ApiError::NotFound(message.into()))
        }
    }
}

/// Has a change decided; an accepted one is in force here before the answer.
async fn change(node: &EntryNode, command: PatchCommand) -> Result<ApiResponse> {
    match node.control().patch(command).await? {
        PatchVerdict::Accepted(accepted) => {
            node.refresh_configuration().await?;
            let version = accepted.version;
            let response = response_body::json(StatusCode::OK, &ChangeAnswer { version });
            Ok(with_version(response, version))
        }
        PatchVerdict::Mismatch(mismatch) => Err(ApiError::VersionMismatch(mismatch)),
        PatchVerdict::Invalid(invalid) => Err(ApiError::InvalidChange(invalid)),
        PatchVerdict::IdConflict(conflict) => Err(ApiError::PatchIdConflict(conflict.patch_id)),
    }
}

async fn status(node: &EntryNode) -> StatusAnswer {
    let control = match node.control().status().await {
        Ok(status) => Some(status),
        Err(error) => {
            log_event!(warn, "control_status_failed", error = error);
            None
        }
    };
    StatusAnswer {
        entry: node.status(),
        control_mode: node.control().mode(),
        control,
    }
}

fn with_version(mut response: ApiResponse, version: u64) -> ApiResponse {
    if let Ok(tag) = HeaderValue::from_str(&format!("\"{version}\"")) {
        response.headers_mut().insert(ETAG, tag);
    }
    response
}

/// The version in `If-Match`; `*` names none, so it is refused like a missing
/// one.
fn expected_version(head: &RequestHead) -> Result<u64> {
    let text = head.header(IF_MATCH.as_str())?;
    let text = text
        .filter(|text| *text != "*")
        .ok_or(ApiError::VersionRequired)?;
    text.trim_matches('"').parse().map_err(|_| {
        let message = format!("If-Match is {text:?}; send a version as GET /v1/config gave it");
        ApiError::InvalidRequest(message)
    })
}

/// The operator's patch id; without one a resend can't be told from a new
/// change.
fn patch_id(head: &RequestHead) -> Result<String> {
    match head.header(IDEMPOTENCY_KEY)? {
        Some(id) => Ok(id.to_string()),
        None => Ok(RequestId::random().to_string()),
    }
}

fn range(head: &RequestHead) -> Result<RangeQuery> {
    let limit = head.query_number("limit")?.unwrap_or(DEFAULT_LIMIT);
    Ok(RangeQuery {
        after: head.query_number("after")?.unwrap_or(0),
        limit: u32::try_from(limit).unwrap_or(u32::MAX),
    })
}
