use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use super::completion_stream::read_completion;
use super::{AttemptError, AttemptId, Result, StageCall, StageReply, TokenSink};
use crate::configuration::StageKind;
use crate::prelude::*;

/// Header that carries the attempt's identity, echoed by the endpoint.
pub const ATTEMPT_HEADER: &str = "savorywalk-attempt";
/// Header that carries the time left, in milliseconds.
pub const DEADLINE_HEADER: &str = "savorywalk-deadline-ms";

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_ANSWER_BYTES: usize = 64 << 20;
const MAX_ERROR_BYTES: usize = 4 << 10;

/// Calls endpoints over HTTP.
#[derive(Clone, Debug)]
pub struct EndpointClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for EndpointClient {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }
}

impl EndpointClient {
    /// Makes one attempt within `timeout` and checks that its answer is whole.
    pub async fn attempt(
        &self,
        address: SocketAddr,
        id: AttemptId,
        call: &StageCall,
        timeout: Duration,
        sink: Option<&TokenSink>,
    ) -> Result<StageReply> {
        let exchange = self.exchange(address, id, call, timeout, sink);
        match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(AttemptError::TimedOut),
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        id: AttemptId,
        call: &StageCall,
        timeout: Duration,
        sink: Option<&TokenSink>,
    ) -> Result<StageReply> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{}", call.path))
            .header(CONTENT_TYPE, "application/json")
            .header(ATTEMPT_HEADER, id.to_string())
            .header(DEADLINE_HEADER, timeout.as_millis().to_string())
            .body(Full::new(call.body.clone()))
            .map_err(|error| AttemptError::Unreachable(error.to_string()))?;
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                AttemptError::Unreachable(error.to_string())
            } else {
                AttemptError::Cut(error.to_string())
            }
        })?;
        let response = check_status(response).await?;
        check_attempt(&response, id)?;
        if call.kind == StageKind::Generate {
            return read_completion(response.into_body(), sink).await;
        }
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await;
        let body = body.map_err(|error| AttemptError::Cut(error.to_string()))?;
        call.read(&body.to_bytes())
    }
}

#[derive(Deserialize)]
struct EndpointError {
    error: EndpointErrorBody,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct EndpointErrorBody {
    kind: String,
    message: String,
}

async fn check_status(response: Response<Incoming>) -> Result<Response<Incoming>> {
    let status = response.status();
    if status == StatusCode::OK {
        return Ok(response);
    }
    let body = Limited::new(response.into_body(), MAX_ERROR_BYTES)
        .collect()
        .await;
    let body = body.map(|body| body.to_bytes()).unwrap_or_default();
    let error: Option<EndpointError> = serde_json::from_slice(&body).ok();
    let error = error.map(|error| error.error).unwrap_or_default();
    if error.kind == "not_run" {
        return Err(AttemptError::Refused(error.message));
    }
    let (status, message) = (status, error.message);
    if status.is_client_error() && status != StatusCode::TOO_MANY_REQUESTS {
        return Err(AttemptError::Rejected {
            status: status.as_u16(),
            message,
        });
    }
    Err(AttemptError::Failed {
        status: status.as_u16(),
        message,
    })
}

fn check_attempt(response: &Response<Incoming>, id: AttemptId) -> Result<()> {
    let echo = response.headers().get(ATTEMPT_HEADER);
    let echo = echo.and_then(|value| value.to_str().ok()).unwrap_or("none");
    if echo == id.to_string() {
        return Ok(());
    }
    Err(AttemptError::WrongAttempt(echo.to_string()))
}
