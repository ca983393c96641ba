//! What a stand-in does with one request: the work itself, streams, orders,
//! the cache, and the switches for faults.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use savorywalk::directory::CacheEvent;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use crate::endpoint_response::{self as response, Body};
use crate::engine_stream::{EngineStream, StreamReader};
use crate::order_desk::OrderReceipt;
use crate::standin_endpoint::{ProgressGuard, StandinEndpoint};
use crate::{EndpointFault, EndpointOrder, OrderAction, OrderProgress, StandinKind, endpoint_work};

const ATTEMPT_HEADER: &str = "savorywalk-attempt";
const KEY_HEADER: &str = "idempotency-key";
const STREAM_HEADER: HeaderName = HeaderName::from_static("savorywalk-stream");
const CROSSED_ATTEMPT: HeaderValue = HeaderValue::from_static("another/0/0");
const STREAMS_PATH: &str = "/v1/completions/streams/";
const CACHE_PATH: &str = "/v1/cache/";
const MAX_BODY_BYTES: usize = 64 << 20;

/// A request whose body has come.
struct ReceivedRequest {
    method: Method,
    path: String,
    query: String,
    attempt: Option<HeaderValue>,
    key: Option<String>,
    body: Bytes,
}

pub(crate) async fn respond(
    endpoint: Arc<StandinEndpoint>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let (head, body) = request.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let request = ReceivedRequest {
        method: head.method,
        path: head.uri.path().to_string(),
        query: head.uri.query().unwrap_or_default().to_string(),
        attempt: head.headers.get(ATTEMPT_HEADER).cloned(),
        key: head
            .headers
            .get(KEY_HEADER)
            .and_then(|key| key.to_str().ok())
            .map(String::from),
        body: body.map(|body| body.to_bytes()).unwrap_or_default(),
    };
    Ok(route(&endpoint, request).await)
}

async fn route(endpoint: &Arc<StandinEndpoint>, request: ReceivedRequest) -> Response<Body> {
    if let Some(name) = request.path.strip_prefix("/standin/") {
        return control(endpoint, name, &request);
    }
    if let Some(id) = request.path.strip_prefix(STREAMS_PATH) {
        return stream_call(endpoint, id, &request);
    }
    if let Some(prefix) = request.path.strip_prefix(CACHE_PATH) {
        return cache_call(endpoint, prefix, &request);
    }
    match request.path.as_str() {
        "/v1/orders" => order(endpoint, &request),
        "/v1/orders/state" => response::json(StatusCode::OK, endpoint.desk().state()),
        _ => work(endpoint, request).await,
    }
}

/// The switches for faults.
fn control(
    endpoint: &Arc<StandinEndpoint>,
    name: &str,
    request: &ReceivedRequest,
) -> Response<Body> {
    match name {
        "fault" => match parse::<EndpointFault>(&request.body) {
            Ok(fault) => endpoint.faults.set(fault),
            Err(refusal) => return refusal,
        },
        "silence" => endpoint.silencer.silence_open(),
        "die" => endpoint.die(),
        "leave" => {
            let endpoint = Arc::clone(endpoint);
            tokio::spawn(async move { endpoint.leave().await });
        }
        "runs" => {
            let name = query_value(&request.query, "name").unwrap_or_default();
            let answer = json!({"runs": endpoint.runs.runs(name)});
            return response::json(StatusCode::OK, &answer);
        }
        _ => return not_found("unknown_switch"),
    }
    response::empty(StatusCode::NO_CONTENT)
}

/// Resumes or cancels a stream.
fn stream_call(
    endpoint: &Arc<StandinEndpoint>,
    id: &str,
    request: &ReceivedRequest,
) -> Response<Body> {
    let stream = stream_number(endpoint, id).and_then(|number| endpoint.engine.stream(number));
    if request.method == Method::DELETE {
        if let Some(stream) = stream {
            endpoint.engine.cancel(stream.job);
        }
        return response::empty(StatusCode::NO_CONTENT);
    }
    let offset = query_value(&request.query, "offset").unwrap_or("0").parse();
    let (Some(stream), Ok(offset)) = (stream, offset) else {
        return not_found("unknown_stream");
    };
    let guard = (endpoint.enter(), ReaderWatch::new(endpoint, &stream));
    let answer = response::event_stream(stream.read_from(offset), EndpointFault::None, guard);
    let echo = request.attempt.clone().or(stream.attempt.clone());
    with_headers(endpoint, answer, &stream, echo)
}

/// Exports or imports a prefix of the cache.
fn cache_call(
    endpoint: &StandinEndpoint,
    prefix: &str,
    request: &ReceivedRequest,
) -> Response<Body> {
    let Ok(prefix) = prefix.to_string().try_into() else {
        return not_found("unknown_prefix");
    };
    if request.method == Method::PUT {
        return match parse::<CacheEvent>(&request.body) {
            Ok(event) => {
                endpoint.engine.import_prefix(prefix, event.tokens);
                response::empty(StatusCode::NO_CONTENT)
            }
            Err(refusal) => refusal,
        };
    }
    let Some(tokens) = endpoint.engine.cached_tokens(prefix) else {
        return not_found("unknown_prefix");
    };
    let evicted = false;
    response::json(
        StatusCode::OK,
        &CacheEvent {
            prefix,
            tokens,
            evicted,
        },
    )
}

/// Takes an order and carries it out at the pace of the weight store.
fn order(endpoint: &Arc<StandinEndpoint>, request: &ReceivedRequest) -> Response<Body> {
    let order: EndpointOrder = match parse(&request.body) {
        Ok(order) => order,
        Err(refusal) => return refusal,
    };
    let receipt = endpoint.desk().receive(&order);
    let progress = match receipt {
        OrderReceipt::Known(progress) => progress,
        OrderReceipt::Stale(newest) => {
            let message = format!("term {} index {} was accepted", newest.term, newest.index);
            return response::refusal(StatusCode::CONFLICT, "stale_fencing", &message);
        }
        OrderReceipt::Accepted => {
            tokio::spawn(carry_out(Arc::clone(endpoint), order.clone()));
            OrderProgress::Running
        }
    };
    let answer = json!({"order_id": order.order_id, "progress": progress});
    response::json(StatusCode::ACCEPTED, &answer)
}

async fn carry_out(endpoint: Arc<StandinEndpoint>, order: EndpointOrder) {
    let work = async {
        if let (OrderAction::Load, Some(store)) = (order.action, &endpoint.options.weight_store) {
            store.fetch(endpoint.options.model_bytes).await;
        }
    };
    tokio::select! {
        () = work => {}
        () = endpoint.death.cancelled() => return,
    }
    endpoint.desk().complete(&order);
    endpoint.change_notify.notify_one();
}

async fn work(endpoint: &Arc<StandinEndpoint>, request: ReceivedRequest) -> Response<Body> {
    let fault = endpoint.faults.get();
    if fault == EndpointFault::Refuse || endpoint.is_closed() {
        return echoed(not_run("it takes no work"), request.attempt, fault);
    }
    endpoint.counts.seen.fetch_add(1, Ordering::SeqCst);
    if fault == EndpointFault::Silent {
        endpoint.receipts.tell(&request.body);
        return std::future::pending().await;
    }
    let Ok(document) = serde_json::from_slice::<Value>(&request.body) else {
        let refusal = response::refusal(StatusCode::BAD_REQUEST, "invalid_request", "no JSON");
        return echoed(refusal, request.attempt, fault);
    };
    let guard = endpoint.enter();
    match endpoint.options.kind {
        StandinKind::Engine => generate(endpoint, guard, fault, &document, request).await,
        StandinKind::Encoder
        | StandinKind::Retriever
        | StandinKind::Reranker
        | StandinKind::Service => {
            let answer = compute(endpoint, fault, &document, &request).await;
            echoed(answer, request.attempt, fault)
        }
    }
}

/// The work of a stage that is not streamed.
async fn compute(
    endpoint: &Arc<StandinEndpoint>,
    fault: EndpointFault,
    document: &Value,
    request: &ReceivedRequest,
) -> Response<Body> {
    let Some(_slot) = endpoint.queue.enter().await else {
        return not_run("its queue is full");
    };
    endpoint.receipts.tell(&request.body);
    let span = endpoint_work::start_time(&endpoint.options, request.body.len());
    pause(span.mul_f64(fault.slowness())).await;
    record_run(endpoint, request);
    endpoint.counts.ran.fetch_add(1, Ordering::SeqCst);
    if fault == EndpointFault::Fail {
        return failure();
    }
    hold_back(fault).await;
    let answer = endpoint_work::answer(&endpoint.options, document);
    response::answer(answer.to_string(), fault)
}

/// The work of an engine.
async fn generate(
    endpoint: &Arc<StandinEndpoint>,
    guard: ProgressGuard,
    fault: EndpointFault,
    document: &Value,
    request: ReceivedRequest,
) -> Response<Body> {
    if !has_model(endpoint, document) {
        return echoed(not_run("it has no such model"), request.attempt, fault);
    }
    let stream = endpoint.engine.submit(document, request.attempt.clone());
    let Some(stream) = stream else {
        return echoed(not_run("its queue is full"), request.attempt, fault);
    };
    endpoint.receipts.tell(&request.body);
    record_run(endpoint, &request);
    let reader = stream.read_from(0);
    let watch = ReaderWatch::new(endpoint, &stream);
    if fault == EndpointFault::Fail {
        read_to_end(reader).await;
        return echoed(failure(), request.attempt, fault);
    }
    hold_back(fault).await;
    let answer = response::event_stream(reader, fault, (guard, watch));
    let answer = echoed(answer, request.attempt, fault);
    let echo = answer.headers().get(ATTEMPT_HEADER).cloned();
    with_headers(endpoint, answer, &stream, echo)
}

async fn read_to_end(mut reader: StreamReader) {
    while reader.next().await.is_some() {}
}

/// Cancels a stream some time after its reader left, unless one comes back.
struct ReaderWatch {
    endpoint: Arc<StandinEndpoint>,
    stream: Arc<EngineStream>,
}

impl ReaderWatch {
    fn new(endpoint: &Arc<StandinEndpoint>, stream: &Arc<EngineStream>) -> Self {
        Self {
            endpoint: Arc::clone(endpoint),
            stream: Arc::clone(stream),
        }
    }
}

impl Drop for ReaderWatch {
    fn drop(&mut self) {
        if self.stream.is_over() {
            return;
        }
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        let endpoint = Arc::clone(&self.endpoint);
        let stream = Arc::clone(&self.stream);
        runtime.spawn(async move { endpoint.engine.cancel_if_abandoned(&stream).await });
    }
}

fn has_model(endpoint: &StandinEndpoint, document: &Value) -> bool {
    let wanted = document["model"].as_str().unwrap_or_default();
    let desk = endpoint.desk();
    let mut models = desk.state().models.iter();
    wanted.is_empty() || models.any(|entry| entry.name == wanted)
}

fn record_run(endpoint: &StandinEndpoint, request: &ReceivedRequest) {
    let attempt = request.attempt.as_ref();
    let attempt = attempt.and_then(|attempt| attempt.to_str().ok());
    endpoint.runs.record(request.key.as_deref(), attempt);
}

async fn hold_back(fault: EndpointFault) {
    if let EndpointFault::Late(millis) = fault {
        tokio::time::sleep(Duration::from_millis(millis)).await;
    }
}

async fn pause(span: Duration) {
    if !span.is_zero() {
        tokio::time::sleep(span).await;
    }
}

fn echoed(
    mut answer: Response<Body>,
    attempt: Option<HeaderValue>,
    fault: EndpointFault,
) -> Response<Body> {
    let attempt = match fault {
        EndpointFault::Crossed => Some(CROSSED_ATTEMPT),
        _ => attempt,
    };
    if let Some(attempt) = attempt {
        answer.headers_mut().insert(ATTEMPT_HEADER, attempt);
    }
    answer
}

fn with_headers(
    endpoint: &StandinEndpoint,
    mut answer: Response<Body>,
    stream: &EngineStream,
    attempt: Option<HeaderValue>,
) -> Response<Body> {
    let headers = answer.headers_mut();
    if let Some(attempt) = attempt {
        headers.insert(ATTEMPT_HEADER, attempt);
    }
    let id = format!("{}.{}", endpoint.options.name, stream.job);
    if let Ok(id) = HeaderValue::from_str(&id) {
        headers.insert(STREAM_HEADER, id);
    }
    answer
}

/// The number in a stream's id, when the stream is this endpoint's.
fn stream_number(endpoint: &StandinEndpoint, id: &str) -> Option<u64> {
    let (name, number) = id.rsplit_once('.')?;
    (name == endpoint.options.name).then(|| number.parse().ok())?
}

fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

#[allow(clippy::result_large_err, reason = "the refusal is the answer")]
fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Response<Body>> {
    serde_json::from_slice(body).map_err(|error| {
        response::refusal(
            StatusCode::BAD_REQUEST,
            "invalid_request",
            &error.to_string(),
        )
    })
}

fn not_run(message: &str) -> Response<Body> {
    response::refusal(StatusCode::SERVICE_UNAVAILABLE, "not_run", message)
}

fn failure() -> Response<Body> {
    let message = "it failed after it ran";
    response::refusal(StatusCode::INTERNAL_SERVER_ERROR, "internal", message)
}

fn not_found(kind: &str) -> Response<Body> {
    response::refusal(StatusCode::NOT_FOUND, kind, "there is none of that name")
}
