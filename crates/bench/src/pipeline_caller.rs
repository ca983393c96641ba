use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::{ACCEPT, AUTHORIZATION};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use savorywalk_standin::token_for;
use serde_json::{Value, json};

use crate::arrival_plan::PlannedRequest;
use crate::bench_plan;

const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// How much longer than its deadline a caller waits for any word at all.
const GRACE: Duration = Duration::from_millis(500);

/// What a caller was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    /// A whole answer.
    Answered,
    /// An error of this kind.
    Refused(String),
    /// Nothing, or a broken connection.
    Lost(String),
}

/// Calls entries, forwarders and endpoints over kept connections.
#[derive(Clone, Debug)]
pub(crate) struct PipelineCaller {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl PipelineCaller {
    pub(crate) fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Self { client }
    }

    /// Calls a pipeline as a workspace's caller would.
    pub(crate) async fn call(
        &self,
        entry: SocketAddr,
        planned: &PlannedRequest,
        key: &str,
        deadline: Duration,
    ) -> CallOutcome {
        let uri = format!("http://{entry}/v1/pipelines/{}", planned.pipeline);
        let body = json!({"input": planned.input, "documents": planned.documents});
        let mut builder = Request::post(uri)
            .header(
                AUTHORIZATION,
                format!("Bearer {}", token_for(&planned.workspace)),
            )
            .header("savorywalk-deadline-ms", deadline.as_millis().to_string());
        if bench_plan::is_booking(&planned.pipeline) {
            builder = builder
                .header("idempotency-key", key)
                .header("savorywalk-idempotent", "false");
        }
        let request = match builder.body(Full::new(Bytes::from(body.to_string()))) {
            Ok(request) => request,
            Err(error) => return CallOutcome::Lost(error.to_string()),
        };
        let exchange = tokio::time::timeout(deadline + GRACE, self.exchange(request));
        match exchange.await {
            Ok(Ok((StatusCode::OK, _))) => CallOutcome::Answered,
            Ok(Ok((_, body))) => CallOutcome::Refused(error_kind(&body)),
            Ok(Err(error)) => CallOutcome::Lost(error),
            Err(_) => CallOutcome::Lost("no answer".into()),
        }
    }

    /// Sends any JSON; gives the status and the whole body.
    pub(crate) async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        token: &str,
        body: Bytes,
        streamed: bool,
    ) -> Result<(StatusCode, Bytes), String> {
        let mut builder = Request::post(format!("http://{address}{path}"))
            .header(AUTHORIZATION, format!("Bearer {token}"));
        if streamed {
            builder = builder.header(ACCEPT, "text/event-stream");
        }
        let request = builder.body(Full::new(body));
        self.exchange(request.map_err(|error| error.to_string())?)
            .await
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<(StatusCode, Bytes), String> {
        let response = self.client.request(request).await;
        let response = response.map_err(|error| format!("{error:?}"))?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(|error| format!("{error:?}"))?;
        Ok((status, body.to_bytes()))
    }
}

fn error_kind(body: &Bytes) -> String {
    let document: Value = serde_json::from_slice(body).unwrap_or_default();
    document["error"]["kind"]
        .as_str()
        .unwrap_or("unreadable")
        .to_string()
}
