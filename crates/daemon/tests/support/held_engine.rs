use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::HeaderValue;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use savorywalk_standin::token_for;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

use super::http_call::ListenerKind;
use super::serve_test::ServeProcess;

const ATTEMPT_HEADER: &str = "savorywalk-attempt";
const STREAM_HEADER: &str = "savorywalk-stream";
const STREAM: &str = "held.1";
const FIRST: &str = "data: {\"choices\": [{\"text\": \"tow\"}]}\n\n";
const REST: &str = "data: {\"choices\": [{\"text\": \" truck\", \"finish_reason\": \"stop\"}], \"usage\": {\"total_tokens\": 2}}\n\ndata: [DONE]\n\n";
const NUMBERED_FIRST: &str = "data: {\"offset\": 0, \"choices\": [{\"text\": \"tow\"}]}\n\n";
const NUMBERED_REST: &str = "data: {\"offset\": 1, \"choices\": [{\"text\": \" truck\", \"finish_reason\": \"stop\"}], \"usage\": {\"total_tokens\": 2}}\n\ndata: [DONE]\n\n";

type Body = UnsyncBoxBody<Bytes, Infallible>;

/// An engine and a service in one, whose completions stop after their first
/// token until the test releases them: a request is in progress for exactly as
/// long as the test wants.
pub struct HeldEngine {
    address: SocketAddr,
    released: Arc<Semaphore>,
    calls: Arc<EngineCalls>,
}

/// Calls that an engine has received.
#[derive(Default)]
struct EngineCalls {
    completions: AtomicUsize,
    resumes: AtomicUsize,
    cancels: AtomicUsize,
}

/// Whether an engine names its streams.
#[derive(Clone, Copy)]
enum StreamNaming {
    Unnamed,
    /// Streams have a name and numbered events, but a call that resumes one gets no answer.
    Named,
}

impl HeldEngine {
    pub async fn start() -> Self {
        Self::start_with(StreamNaming::Unnamed).await
    }

    /// Starts an engine whose streams have a name, and that leaves calls unanswered which resume
    /// one.
    pub async fn start_named() -> Self {
        Self::start_with(StreamNaming::Named).await
    }

    async fn start_with(naming: StreamNaming) -> Self {
        let calls = Arc::new(EngineCalls::default());
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let released = Arc::new(Semaphore::new(0));
        let gate = Arc::clone(&released);
        let counts = Arc::clone(&calls);
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let (gate, counts) = (Arc::clone(&gate), Arc::clone(&counts));
                tokio::spawn(async move {
                    let service = service_fn(|request| {
                        let (gate, counts) = (Arc::clone(&gate), Arc::clone(&counts));
                        async move { answer(request, gate, naming, &counts).await }
                    });
                    let builder = auto::Builder::new(TokioExecutor::new());
                    let _ended = builder
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                });
            }
        });
        Self {
            address,
            released,
            calls,
        }
    }

    /// Number of completions that were begun.
    pub fn completions(&self) -> usize {
        self.calls.completions.load(Ordering::SeqCst)
    }

    /// Number of calls that resume a stream.
    pub fn resumes(&self) -> usize {
        self.calls.resumes.load(Ordering::SeqCst)
    }

    /// Number of calls that cancel a stream.
    pub fn cancels(&self) -> usize {
        self.calls.cancels.load(Ordering::SeqCst)
    }

    /// Lets every completion go on to its end.
    pub fn release(&self) {
        self.released.add_permits(Semaphore::MAX_PERMITS >> 1);
    }

    /// Announces itself as a member of `pool`.
    pub async fn announce(&self, daemon: &ServeProcess, pool: &str) {
        let announcement = json!({
            "endpoint": format!("{pool}-1"),
            "address": self.address,
            "pool": pool,
            "data_center": "bole",
            "incarnation": 1,
            "sequence": 1,
            "state": "serving",
            "lease_ms": 15_000,
            "models": [{"name": "dispatch-8b"}],
            "slots": 8,
        });
        let answer = daemon
            .call(ListenerKind::Endpoints, "POST", "/v1/endpoints")
            .token(&token_for("endpoint"))
            .body(announcement.to_string())
            .send()
            .await;
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
}

async fn answer(
    request: Request<Incoming>,
    gate: Arc<Semaphore>,
    naming: StreamNaming,
    calls: &EngineCalls,
) -> Result<Response<Body>, Infallible> {
    let body = match request.uri().path() {
        "/v1/completions" => {
            calls.completions.fetch_add(1, Ordering::SeqCst);
            match naming {
                StreamNaming::Unnamed => completion(gate, FIRST, REST),
                StreamNaming::Named => completion(gate, NUMBERED_FIRST, NUMBERED_REST),
            }
        }
        path if path.ends_with(STREAM) && request.method() == Method::DELETE => {
            calls.cancels.fetch_add(1, Ordering::SeqCst);
            Full::default().boxed_unsync()
        }
        path if path.ends_with(STREAM) => {
            calls.resumes.fetch_add(1, Ordering::SeqCst);
            return std::future::pending().await;
        }
        _ => Full::new(Bytes::from_static(b"{\"done\": true}")).boxed_unsync(),
    };
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    if let Some(attempt) = request.headers().get(ATTEMPT_HEADER) {
        headers.insert(ATTEMPT_HEADER, attempt.clone());
    }
    if let StreamNaming::Named = naming {
        headers.insert(STREAM_HEADER, HeaderValue::from_static(STREAM));
    }
    Ok(response)
}

fn completion(gate: Arc<Semaphore>, first: &'static str, rest: &'static str) -> Body {
    let first = stream::once(async move { first });
    let rest = stream::once(async move {
        gate.acquire().await.unwrap().forget();
        rest
    });
    let frames = first
        .chain(rest)
        .map(|text| Ok(Frame::data(Bytes::from_static(text.as_bytes()))));
    StreamBody::new(frames).boxed_unsync()
}
