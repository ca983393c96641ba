//! `POST /v1/pipelines/{pipeline}`.

use hyper::body::Incoming;
use hyper::header::ACCEPT;
use hyper::{Method, StatusCode};

use super::request_parts::{self, RequestHead};
use super::{ApiError, ApiResponse, BodyLimit, Result, answer_stream, response_body};
use crate::admission::{RequestDeadline, RequestPhase};
use crate::attempt::RequestId;
use crate::entry::EntryNode;
use crate::pipeline::{PipelineInput, PipelineRequest};
use crate::prelude::*;

const PIPELINES: &str = "/v1/pipelines/";
const DEADLINE_HEADER: &str = "savorywalk-deadline-ms";
const IDEMPOTENT_HEADER: &str = "savorywalk-idempotent";
const EVENT_STREAM: &str = "text/event-stream";
const MAX_DEADLINE_MS: u64 = 600_000;

pub(super) async fn handle(
    node: &Arc<EntryNode>,
    id: RequestId,
    head: &RequestHead,
    body: Incoming,
    body_limit: BodyLimit,
) -> Result<ApiResponse> {
    let arrived = Instant::now();
    let Some(pipeline) = head.path.strip_prefix(PIPELINES) else {
        let message = "no such path; callers use POST /v1/pipelines/{pipeline}";
        return Err(ApiError::NotFound(message.into()));
    };
    head.require(&Method::POST, "POST")?;
    let mut request = read_head(node, id, head, pipeline, arrived)?;
    let body = request_parts::read_body(body, body_limit).await?;
    request.input = request_parts::parse_json::<PipelineInput>(&body)?;
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
        idempotent: is_idempotent(head)?,
        sink: None,
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

fn is_idempotent(head: &RequestHead) -> Result<bool> {
    match head.header(IDEMPOTENT_HEADER)? {
        None | Some("true") => Ok(true),
        Some("false") => Ok(false),
        Some(other) => Err(ApiError::InvalidRequest(format!(
            "{IDEMPOTENT_HEADER} is {other:?}; send true or false"
        ))),
    }
}

fn accepts_events(head: &RequestHead) -> Result<bool> {
    let accept = head.header(ACCEPT.as_str())?;
    Ok(accept.is_some_and(|accept| accept.contains(EVENT_STREAM)))
}
