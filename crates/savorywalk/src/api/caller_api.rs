//! `POST /v1/pipelines/{pipeline}`.

use hyper::header::ACCEPT;
use hyper::{Method, StatusCode};
use sha2::{Digest, Sha256};

use super::request_parts::{self, RequestHead};
use super::{ApiError, ApiResponse, BodyLimit, ClientBody, Result, answer_stream, response_body};
use crate::admission::{RequestDeadline, RequestPhase};
use crate::attempt::RequestId;
use crate::claims::{ClaimAnswer, ClaimKey, ClaimTicket};
use crate::entry::{ClaimedAnswer, ClaimedRun, EntryNode};
use crate::http_bodies::BodyHold;
use crate::pipeline::{PipelineAnswer, PipelineError, PipelineInput, PipelineRequest};
use crate::prelude::*;

const PIPELINES: &str = "/v1/pipelines/";
const DEADLINE_HEADER: &str = "savorywalk-deadline-ms";
const PRIORITY_HEADER: &str = "savorywalk-priority";
const IDEMPOTENT_HEADER: &str = "savorywalk-idempotent";
const KEY_HEADER: &str = "idempotency-key";
const MAX_KEY_BYTES: usize = 256;
const EVENT_STREAM: &str = "text/event-stream";
const MAX_PRIORITY: u8 = 9;
const MAX_DEADLINE_MS: u64 = 600_000;

pub(super) async fn handle(
    node: &Arc<EntryNode>,
    id: RequestId,
    head: &RequestHead,
    body: ClientBody,
    body_limit: BodyLimit,
) -> Result<ApiResponse> {
    let arrived = Instant::now();
    let Some(pipeline) = head.path.strip_prefix(PIPELINES) else {
        let message = "no such path; callers use POST /v1/pipelines/{pipeline}";
        return Err(ApiError::NotFound(message.into()));
    };
    head.require(&Method::POST, "POST")?;
    let mut request = read_head(node, id, head, pipeline, arrived, body_limit.hold())?;
    let body = request_parts::read_body(body, body_limit).await?;
    // The body of a call to an endpoint holds the input once more.
    request.hold.grow(body.len())?;
    request.input = request_parts::parse_json::<PipelineInput>(&body, &mut request.hold)?;
    if let Some(ticket) = claim_ticket(head, &request, &body)? {
        return run_claimed(node, head, ticket, request).await;
    }
    if accepts_events(head)? {
        return Ok(answer_stream::start(node, request));
    }
    let answer = node.run(request).await?;
    Ok(response_body::json(StatusCode::OK, &answer))
}

/// Everything that can be refused before the body is read.
fn read_head(
    node: &EntryNode,
    id: RequestId,
    head: &RequestHead,
    pipeline: &str,
    arrived: Instant,
    hold: BodyHold,
) -> Result<PipelineRequest> {
    let configuration = node.configuration().load();
    let workspace = configuration.workspace_of(head.token()?);
    let workspace = Arc::clone(workspace.ok_or(ApiError::Unauthorized)?);
    let Some(plan) = configuration.pipeline(pipeline) else {
        let message =
            format!("no pipeline {pipeline:?}; an operator can list them with GET /v1/config");
        return Err(ApiError::NotFound(message));
    };
    if !workspace.may_call(pipeline) {
        return Err(ApiError::Forbidden {
            workspace: workspace.name.clone(),
            pipeline: pipeline.to_string(),
        });
    }
    let wish = deadline_wish(head)?;
    Ok(PipelineRequest {
        id,
        workspace,
        pipeline: Arc::clone(plan),
        configuration_version: configuration.version,
        input: PipelineInput::default(),
        deadline: RequestDeadline::new(arrived, wish, plan.deadline),
        priority: priority(head)?,
        idempotent: is_idempotent(head)?,
        sink: None,
        hold,
        phase: RequestPhase::new(),
    })
}

fn deadline_wish(head: &RequestHead) -> Result<Option<Duration>> {
    let Some(text) = head.header(DEADLINE_HEADER)? else {
        return Ok(None);
    };
    match text.parse::<u64>() {
        Ok(millis) if (1..=MAX_DEADLINE_MS).contains(&millis) => {
            Ok(Some(Duration::from_millis(millis)))
        }
        _ => Err(ApiError::InvalidRequest(format!(
            "deadline {text:?} is absurd; send whole milliseconds from 1 to {MAX_DEADLINE_MS}"
        ))),
    }
}

/// Rank among the workspace's own requests; it takes nothing from others.
fn priority(head: &RequestHead) -> Result<u8> {
    let Some(text) = head.header(PRIORITY_HEADER)? else {
        return Ok(0);
    };
    match text.parse::<u8>() {
        Ok(priority) if priority <= MAX_PRIORITY => Ok(priority),
        _ => Err(ApiError::InvalidRequest(format!(
            "priority {text:?} is unknown; send a whole number from 0 to {MAX_PRIORITY}"
        ))),
    }
}

fn is_idempotent(head: &RequestHead) -> Result<bool> {
    match head.header(IDEMPOTENT_HEADER)? {
        None | Some("true") => Ok(true),
        Some("false") => Ok(false),
        Some(other) => Err(ApiError::InvalidRequest(format!(
            "{IDEMPOTENT_HEADER} is {other:?}; send true or false"
        ))),
    }
}

/// The claim that a non-idempotent request with a key must hold; without a key
/// it runs once too, but a resend can't be recognised.
fn claim_ticket(
    head: &RequestHead,
    request: &PipelineRequest,
    body: &[u8],
) -> Result<Option<ClaimTicket>> {
    let mut stages = request.pipeline.stages.iter();
    let is_idempotent = request.idempotent && stages.all(|stage| stage.idempotent);
    let Some(key) = head.header(KEY_HEADER)?.filter(|_| !is_idempotent) else {
        return Ok(None);
    };
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let message =
            format!("{KEY_HEADER} must have 1 to {MAX_KEY_BYTES} bytes; send a shorter one");
        return Err(ApiError::InvalidRequest(message));
    }
    let mut digest = Sha256::new();
    digest.update(request.pipeline.name.as_bytes());
    digest.update([0]);
    digest.update(body);
    Ok(Some(ClaimTicket {
        key: ClaimKey {
            workspace: request.workspace.name.clone(),
            key: key.to_string(),
        },
        digest: Bytes::from_owner(digest.finalize()),
        run: request.id.bytes(),
    }))
}

/// Runs a request at most once, whoever resends it. A stream of its events
/// holds the whole answer alone, since a resend could not be given the rest.
async fn run_claimed(
    node: &Arc<EntryNode>,
    head: &RequestHead,
    ticket: ClaimTicket,
    request: PipelineRequest,
) -> Result<ApiResponse> {
    let run = ClaimedRun::new(node, ticket, claim_answer);
    let answer = match run.answer(request).await? {
        ClaimedAnswer::Answer(answer) => answer,
        ClaimedAnswer::NotRun(refusal) => return Err(PipelineError::from(refusal).into()),
    };
    let status = StatusCode::from_u16(answer.status as u16).unwrap_or(StatusCode::BAD_GATEWAY);
    if accepts_events(head)? {
        let name = if status.is_success() {
            "answer"
        } else {
            "error"
        };
        let event = response_body::written_event(name, &answer.body);
        return Ok(response_body::event_stream(futures::stream::iter([event])));
    }
    Ok(response_body::written_json(status, answer.body))
}

/// What the caller of a claimed run gets, and a resend again.
fn claim_answer(
    id: RequestId,
    result: std::result::Result<PipelineAnswer, PipelineError>,
) -> ClaimAnswer {
    let (status, body) = match result {
        Ok(answer) => (StatusCode::OK, serde_json::to_vec(&answer)),
        Err(error) => {
            let error = ApiError::from(error);
            let document = error.document(&id.to_string());
            (error.status(), serde_json::to_vec(&document))
        }
    };
    ClaimAnswer {
        status: status.as_u16().into(),
        body: body.unwrap_or_default().into(),
    }
}

fn accepts_events(head: &RequestHead) -> Result<bool> {
    let accept = head.header(ACCEPT.as_str())?;
    Ok(accept.is_some_and(|accept| accept.contains(EVENT_STREAM)))
}
