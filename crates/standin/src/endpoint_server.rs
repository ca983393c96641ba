use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use serde_json::{Value, json};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::endpoint_work;
use crate::{EndpointCounts, EndpointFault, FaultSwitch, Result, StandinKind, StandinOptions};

const ATTEMPT_HEADER: &str = "savorywalk-attempt";
const CROSSED_ATTEMPT: &str = "another/0/0";

type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Why a stand-in could not start.
#[derive(Debug, Error)]
pub enum StandinError {
    /// No address could be listened on.
    #[error("the stand-in can't listen on {address}: {error}; choose a free address")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's word.
        error: io::Error,
    },
}

/// A running stand-in; dropping it breaks its connections, as a crash would.
#[derive(Debug)]
pub struct EndpointServer {
    address: SocketAddr,
    endpoint: Arc<StandinEndpoint>,
    _tasks: JoinSet<()>,
}

/// What the connections of one stand-in share.
#[derive(Debug)]
struct StandinEndpoint {
    options: StandinOptions,
    counts: EndpointCounts,
    faults: FaultSwitch,
}

/// Counts one request in progress until it is dropped.
struct RunningGuard {
    endpoint: Arc<StandinEndpoint>,
}

impl RunningGuard {
    fn enter(endpoint: &Arc<StandinEndpoint>) -> Self {
        endpoint.counts.running.fetch_add(1, Ordering::SeqCst);
        Self {
            endpoint: Arc::clone(endpoint),
        }
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.endpoint.counts.running.fetch_sub(1, Ordering::SeqCst);
    }
}

impl EndpointServer {
    /// Starts a stand-in that listens on `address`.
    pub async fn start(options: StandinOptions, address: SocketAddr) -> Result<Self> {
        let failed = |error| StandinError::Listen { address, error };
        let listener = TcpListener::bind(address).await.map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let endpoint = Arc::new(StandinEndpoint {
            options,
            counts: EndpointCounts::default(),
            faults: FaultSwitch::default(),
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, Arc::clone(&endpoint)));
        Ok(Self {
            address,
            endpoint,
            _tasks: tasks,
        })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// How it was started.
    pub fn options(&self) -> &StandinOptions {
        &self.endpoint.options
    }

    /// What it has done.
    pub fn counts(&self) -> &EndpointCounts {
        &self.endpoint.counts
    }

    /// Its faults.
    pub fn faults(&self) -> &FaultSwitch {
        &self.endpoint.faults
    }
}

async fn accept(listener: TcpListener, endpoint: Arc<StandinEndpoint>) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let endpoint = Arc::clone(&endpoint);
        connections.spawn(async move {
            let service = service_fn(move |request| respond(Arc::clone(&endpoint), request));
            let builder = auto::Builder::new(TokioExecutor::new());
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!("event=standin_connection_ended error={error:?}");
            }
        });
        while connections.try_join_next().is_some() {}
    }
}

async fn respond(
    endpoint: Arc<StandinEndpoint>,
    request: Request<Incoming>,
) -> std::result::Result<Response<Body>, Infallible> {
    let fault = endpoint.faults.get();
    let attempt = request.headers().get(ATTEMPT_HEADER).cloned();
    let body = request.into_body().collect().await;
    let body = body.map(|body| body.to_bytes()).unwrap_or_default();
    let mut response = match fault {
        EndpointFault::Refuse => refusal(StatusCode::SERVICE_UNAVAILABLE, "not_run"),
        EndpointFault::Silent => {
            endpoint.counts.seen.fetch_add(1, Ordering::SeqCst);
            std::future::pending().await
        }
        EndpointFault::None
        | EndpointFault::Slow(_)
        | EndpointFault::Fail
        | EndpointFault::Cut
        | EndpointFault::Crossed => {
            endpoint.counts.seen.fetch_add(1, Ordering::SeqCst);
            work(&endpoint, fault, &body).await
        }
    };
    if let Some(attempt) = attempt {
        response.headers_mut().insert(ATTEMPT_HEADER, attempt);
    }
    if fault == EndpointFault::Crossed {
        let crossed = hyper::header::HeaderValue::from_static(CROSSED_ATTEMPT);
        response.headers_mut().insert(ATTEMPT_HEADER, crossed);
    }
    Ok(response)
}

async fn work(
    endpoint: &Arc<StandinEndpoint>,
    fault: EndpointFault,
    body: &Bytes,
) -> Response<Body> {
    let Ok(request) = serde_json::from_slice::<Value>(body) else {
        return refusal(StatusCode::BAD_REQUEST, "invalid_request");
    };
    let guard = RunningGuard::enter(endpoint);
    let slowness = match fault {
        EndpointFault::Slow(factor) => factor,
        _ => 1.0,
    };
    let options = &endpoint.options;
    let start = endpoint_work::start_time(options, body.len()).mul_f64(slowness);
    tokio::time::sleep(start).await;
    if options.kind == StandinKind::Engine {
        return stream(guard, fault, slowness, &request);
    }
    endpoint.counts.ran.fetch_add(1, Ordering::SeqCst);
    if fault == EndpointFault::Fail {
        return refusal(StatusCode::INTERNAL_SERVER_ERROR, "internal");
    }
    let answer = endpoint_work::answer(options, &request).to_string();
    if fault == EndpointFault::Cut {
        return cut(answer);
    }
    whole(StatusCode::OK, answer)
}

/// Streams a completion, a word an event, at the pace of the batch.
fn stream(
    guard: RunningGuard,
    fault: EndpointFault,
    slowness: f64,
    request: &Value,
) -> Response<Body> {
    let words = endpoint_work::words(request);
    let prompt_tokens = endpoint_work::token_count(request["prompt"].as_str().unwrap_or_default());
    let total = words.len();
    let usage = json!({"total_tokens": prompt_tokens + total as u64});
    let kept = if fault == EndpointFault::Cut {
        total / 2
    } else {
        total
    };
    let events = futures::stream::iter(words.into_iter().enumerate().take(kept));
    let events = events.then(move |(index, word)| {
        let endpoint = Arc::clone(&guard.endpoint);
        let usage = usage.clone();
        let _in_progress = &guard;
        async move {
            let running = endpoint.counts.running.load(Ordering::SeqCst);
            let time = endpoint_work::token_time(&endpoint.options, running).mul_f64(slowness);
            tokio::time::sleep(time).await;
            let last = index + 1 == total;
            let reason = if last { json!("stop") } else { Value::Null };
            let mut chunk =
                json!({"choices": [{"index": 0, "text": word, "finish_reason": reason}]});
            if last {
                endpoint.counts.ran.fetch_add(1, Ordering::SeqCst);
                chunk["usage"] = usage;
            }
            Ok::<_, io::Error>(Frame::data(Bytes::from(format!("data: {chunk}\n\n"))))
        }
    });
    let end = match fault {
        EndpointFault::Cut => Err(io::Error::other("cut")),
        _ => Ok(Frame::data(Bytes::from_static(b"data: [DONE]\n\n"))),
    };
    let events = events.chain(futures::stream::once(async move { end }));
    let mut response = Response::new(StreamBody::new(events).boxed_unsync());
    let content_type = hyper::header::HeaderValue::from_static("text/event-stream");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, content_type);
    response
}

fn whole(status: StatusCode, text: String) -> Response<Body> {
    let body = Full::new(Bytes::from(text)).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
}

fn refusal(status: StatusCode, kind: &str) -> Response<Body> {
    whole(
        status,
        json!({"error": {"kind": kind, "message": "told to"}}).to_string(),
    )
}

/// Half of an answer, then a broken connection.
fn cut(text: String) -> Response<Body> {
    let half = Bytes::from(text[..text.len() / 2].to_string());
    let parts = [Ok(Frame::data(half)), Err(io::Error::other("cut"))];
    Response::new(StreamBody::new(futures::stream::iter(parts)).boxed_unsync())
}
