use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use savorywalk_standin::token_for;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

use super::http_call::ListenerKind;
use super::serve_test::ServeProcess;

const ATTEMPT_HEADER: &str = "savorywalk-attempt";
const FIRST: &str = "data: {\"choices\": [{\"text\": \"tow\"}]}\n\n";
const REST: &str = "data: {\"choices\": [{\"text\": \" truck\", \"finish_reason\": \"stop\"}], \"usage\": {\"total_tokens\": 2}}\n\ndata: [DONE]\n\n";

type Body = UnsyncBoxBody<Bytes, Infallible>;

/// An engine and a service in one, whose completions stop after their first
/// token until the test releases them: a request is in progress for exactly as
/// long as the test wants.
pub struct HeldEngine {
    address: SocketAddr,
    released: Arc<Semaphore>,
}

impl HeldEngine {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let released = Arc::new(Semaphore::new(0));
        let gate = Arc::clone(&released);
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let gate = Arc::clone(&gate);
                tokio::spawn(async move {
                    let service = service_fn(|request| {
                        std::future::ready(answer(request, Arc::clone(&gate)))
                    });
                    let builder = auto::Builder::new(TokioExecutor::new());
                    let _ended = builder
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                });
            }
        });
        Self { address, released }
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

fn answer(request: Request<Incoming>, gate: Arc<Semaphore>) -> Result<Response<Body>, Infallible> {
    let body = match request.uri().path() {
        "/v1/completions" => completion(gate),
        _ => Full::new(Bytes::from_static(b"{\"done\": true}")).boxed_unsync(),
    };
    let mut response = Response::new(body);
    if let Some(attempt) = request.headers().get(ATTEMPT_HEADER) {
        response
            .headers_mut()
            .insert(ATTEMPT_HEADER, attempt.clone());
    }
    Ok(response)
}

fn completion(gate: Arc<Semaphore>) -> Body {
    let first = stream::once(async { FIRST });
    let rest = stream::once(async move {
        gate.acquire().await.unwrap().forget();
        REST
    });
    let frames = first
        .chain(rest)
        .map(|text| Ok(Frame::data(Bytes::from_static(text.as_bytes()))));
    StreamBody::new(frames).boxed_unsync()
}
