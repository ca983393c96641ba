//! `POST /v1/pipelines/{pipeline}`.

use futures::StreamExt;
use hyper::body::Incoming;
use hyper::header::ACCEPT;
use hyper::{Method, StatusCode};
use tokio::sync::mpsc;

use super::request_parts::{self, RequestHead};
use super::{ApiError, ApiResponse, Result, response_body};
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
/// Pieces of text that may wait for a slow caller before the stage waits too.
const SINK_CAPACITY: usize = 64;

pub(super) async fn handle(
    node: &Arc<EntryNode>,
    id: RequestId,
    head: &RequestHead,
    body: Incoming,
    max_body_bytes: u32,
) -> Result<ApiResponse> {
    let arrived = Instant::now();
    let Some(pipeline) = head.path.strip_prefix(PIPELINES) else {
        let message = "no such path; callers use POST /v1/pipelines/{pipeline}";
        return Err(ApiError::NotFound(message.into()));
    };
    head.require(&Method::POST, "POST")?;
    let mut request = read_head(node, id, head, pipeline, arrived)?;
    let body = request_parts::read_body(body, max_body_bytes).await?;
    request.input = request_parts::parse_json::<PipelineInput>(&body)?;
    if accepts_events(head)? {
        return Ok(stream(node, request));
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

#[derive(Serialize)]
struct TokenEvent<'a> {
    text: &'a str,
}

/// Streams `token` events, then one `answer` or `error` event.
fn stream(node: &Arc<EntryNode>, mut request: PipelineRequest) -> ApiResponse {
    let (sink, mut pieces) = mpsc::channel::<String>(SINK_CAPACITY);
    request.sink = Some(sink);
    let id = request.id.to_string();
    let node = Arc::clone(node);
    let events = async_events(async move {
        let (events, stream) = mpsc::channel::<Bytes>(1);
        let run = async move {
            let answer = node.run(request);
            tokio::pin!(answer);
            loop {
                tokio::select! {
                    biased;
                    Some(piece) = pieces.recv() => {
                        let event = response_body::event("token", &TokenEvent { text: &piece });
                        if events.send(event).await.is_err() {
                            return;
                        }
                    }
                    result = &mut answer => {
                        let last = match result {
                            Ok(answer) => response_body::event("answer", &answer),
                            Err(error) => {
                                let error = ApiError::from(error);
                                response_body::event("error", &error.document(&id))
                            }
                        };
                        if events.send(last).await.is_err() {
                            log_event!(debug, "caller_left", request = id);
                        }
                        return;
                    }
                }
            }
        };
        (run, stream)
    });
    response_body::event_stream(events)
}

/// Runs a producer and its receiver as one stream, so that the run ends as
/// soon as the caller drops the response.
fn async_events<F, R>(setup: F) -> impl futures::Stream<Item = Bytes> + Send + 'static
where
    F: Future<Output = (R, mpsc::Receiver<Bytes>)> + Send + 'static,
    R: Future<Output = ()> + Send + 'static,
{
    futures::stream::once(setup).flat_map(|(run, mut receiver)| {
        let mut run = Box::pin(run);
        let mut running = true;
        futures::stream::poll_fn(move |context| {
            if running && run.as_mut().poll(context).is_ready() {
                running = false;
            }
            receiver.poll_recv(context)
        })
    })
}
