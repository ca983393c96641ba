use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request, Response, StatusCode};
use tokio::sync::mpsc;

use super::completion_stream::{CompletionStream, StreamItem};
use super::connection_pool::{ConnectionChoice, ConnectionPool};
use super::open_streams::OpenStreams;
use super::pooled_connection::{PooledConnection, SendFailure};
use super::{
    AttemptError, AttemptEvent, AttemptId, ProgressLimits, Result, ResumePoint, StageCall,
    StageEvent,
};
use crate::configuration::StageKind;
use crate::http_bodies::{BodyHold, collect_body};
use crate::prelude::*;

/// Request header with the attempt's identity; the endpoint echoes it in its answer.
pub const ATTEMPT_HEADER: &str = "savorywalk-attempt";
/// Request header with the time left until the deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "savorywalk-deadline-ms";
/// Response header with the name of a stream that the engine can resume.
pub const STREAM_HEADER: &str = "savorywalk-stream";

/// Path prefix of the calls that resume or cancel a stream by its name.
const STREAMS_PATH: &str = "/v1/completions/streams";
const MAX_ANSWER_BYTES: usize = 64 << 20;
const MAX_ERROR_BYTES: usize = 4 << 10;
/// Maximum wait for the end of a body after its last event. After it, the
/// connection is closed rather than reused.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a call that cancels a stream.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_STREAM_NAME_BYTES: usize = 128;

/// HTTP client for the endpoints. Clones share one connection pool.
#[derive(Clone, Debug, Default)]
pub struct EndpointClient {
    pool: Arc<ConnectionPool>,
}

/// Parameters of one attempt.
#[derive(Debug)]
pub(super) struct AttemptRequest<'a> {
    pub(super) address: SocketAddr,
    pub(super) id: AttemptId,
    pub(super) call: &'a StageCall,
    pub(super) resume: Option<ResumePoint>,
    /// False for a stage that may run once: its attempts use new connections,
    /// as a failure on a reused one can leave open whether the request arrived.
    pub(super) idempotent: bool,
    pub(super) remaining: Duration,
    /// `None` for an attempt that is never retried or resumed after a stall.
    pub(super) limits: Option<ProgressLimits>,
    pub(super) streams: Arc<OpenStreams>,
    pub(super) events: mpsc::Sender<StageEvent>,
}

impl EndpointClient {
    /// Makes one attempt and reports its progress as events. The last event is
    /// its result.
    pub(super) async fn attempt(&self, request: AttemptRequest<'_>) {
        let last = match self.exchange(&request).await {
            Ok(event) => event,
            Err(error) => AttemptEvent::Failed(error),
        };
        request.send_event(last).await;
    }

    /// Cancels a stream at its engine, in a background task. Errors are logged.
    pub(super) fn cancel_stream(&self, address: SocketAddr, stream: &str) {
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        let client = self.clone();
        let path = format!("{STREAMS_PATH}/{stream}");
        runtime.spawn(async move {
            let cancelling = client.send_cancel(address, &path);
            match tokio::time::timeout(CANCEL_TIMEOUT, cancelling).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => log_event!(debug, "cancel_failed", path = path, error = error),
                Err(_) => log_event!(debug, "cancel_timed_out", path = path),
            }
        });
    }

    async fn send_cancel(&self, address: SocketAddr, path: &str) -> Result<()> {
        let request = Request::builder()
            .method(Method::DELETE)
            .uri(path)
            .header(HOST, address.to_string())
            .body(Full::default())
            .map_err(|error| AttemptError::Unreachable(error.to_string()))?;
        let (mut connection, _) = self.pool.get(address, ConnectionChoice::Fresh).await?;
        let response = connection.send(request).await.map_err(AttemptError::from)?;
        read_body(response.into_body(), MAX_ERROR_BYTES).await?;
        self.pool.put(connection);
        Ok(())
    }

    async fn exchange(&self, request: &AttemptRequest<'_>) -> Result<AttemptEvent> {
        let sending = self.send(request);
        let started = Instant::now();
        let first_limit = request.limits.map(|limits| limits.first_event);
        let sent = self.await_step(request, first_limit, sending).await;
        let (connection, response) = sent?;
        let echo = AttemptEcho::read(&response, request.id)?;
        let response = match check_status(response).await {
            Ok(response) => response,
            Err(error) => return Err(request.classify_error(echo, error)),
        };
        echo.require()?;
        if request.call.kind == StageKind::Generate {
            let first_limit =
                first_limit.map(|first_limit| first_limit.saturating_sub(started.elapsed()));
            return self
                .read_stream(request, connection, response, first_limit)
                .await;
        }
        let reading = read_body(response.into_body(), MAX_ANSWER_BYTES);
        let body = self.await_step(request, first_limit, reading).await?;
        self.pool.put(connection);
        Ok(AttemptEvent::Answered(request.call.read(&body)?))
    }

    /// Sends the request. Sends it again on a new connection if a reused one was
    /// closed before any byte was written.
    async fn send(
        &self,
        request: &AttemptRequest<'_>,
    ) -> Result<(PooledConnection, Response<Incoming>)> {
        let choice = match request.idempotent && request.resume.is_none() {
            true => ConnectionChoice::Reused,
            false => ConnectionChoice::Fresh,
        };
        let (mut connection, reused) = self.pool.get(request.address, choice).await?;
        match connection.send(request.build()?).await {
            Ok(response) => return Ok((connection, response)),
            Err(SendFailure::Unsent(_)) if reused => {}
            Err(failure) => return Err(failure.into()),
        }
        let fresh = self.pool.get(request.address, ConnectionChoice::Fresh);
        let (mut connection, _) = fresh.await?;
        let response = connection.send(request.build()?).await?;
        Ok((connection, response))
    }

    async fn read_stream(
        &self,
        request: &AttemptRequest<'_>,
        connection: PooledConnection,
        response: Response<Incoming>,
        first_limit: Option<Duration>,
    ) -> Result<AttemptEvent> {
        if let Some(stream) = stream_name(&response) {
            let attempt = request.id.attempt;
            request.streams.insert(attempt, request.address, stream);
            let named = AttemptEvent::StreamNamed(stream.to_string());
            request.send_event(named).await;
        }
        let mut stream = CompletionStream::new(response.into_body());
        let event_gap = request.limits.map(|limits| limits.event_gap);
        let mut limit = first_limit;
        loop {
            let item = self.await_step(request, limit, stream.next()).await?;
            limit = event_gap;
            match item {
                StreamItem::Token(token_event) => {
                    request.send_event(AttemptEvent::Token(token_event)).await
                }
                StreamItem::End(tokens) => {
                    request.streams.finish(request.id.attempt);
                    self.put_drained(connection, stream);
                    return Ok(AttemptEvent::StreamEnded(tokens));
                }
            }
        }
    }

    /// Returns the connection to the pool once the rest of its stream is read, in
    /// a background task so that the answer isn't delayed.
    fn put_drained(&self, connection: PooledConnection, stream: CompletionStream) {
        let pool = Arc::clone(&self.pool);
        tokio::spawn(async move {
            if let Ok(true) = tokio::time::timeout(DRAIN_TIMEOUT, stream.drain()).await {
                pool.put(connection);
            }
        });
    }

    /// Waits for a step of an attempt. If it takes longer than `limit`, closes
    /// the idle connections to the endpoint, which may hang as well, reports a
    /// stall once and continues to wait.
    async fn await_step<T>(
        &self,
        request: &AttemptRequest<'_>,
        limit: Option<Duration>,
        step: impl Future<Output = T>,
    ) -> T {
        tokio::pin!(step);
        if let Some(limit) = limit {
            if let Ok(done) = tokio::time::timeout(limit, &mut step).await {
                return done;
            }
            self.pool.invalidate(Instant::now(), request.address);
            request.send_event(AttemptEvent::Stalled).await;
        }
        step.await
    }
}

impl AttemptRequest<'_> {
    async fn send_event(&self, event: AttemptEvent) {
        let event = StageEvent::Attempt(self.id.attempt, event);
        if self.events.send(event).await.is_err() {
            log_event!(debug, "stage_left", attempt = self.id);
        }
    }

    /// Adjusts the error of an endpoint. Without the attempt's echo, an error is
    /// no proof that nothing ran; a rejected resume shows only that the stream
    /// is unknown.
    fn classify_error(&self, echo: AttemptEcho, error: AttemptError) -> AttemptError {
        match error {
            AttemptError::Rejected { message, .. } if self.resume.is_some() => {
                AttemptError::UnknownStream(message)
            }
            AttemptError::Refused(message) if echo == AttemptEcho::Missing => {
                AttemptError::Failed {
                    status: StatusCode::SERVICE_UNAVAILABLE.as_u16(),
                    message,
                }
            }
            AttemptError::Rejected { status, message } if echo == AttemptEcho::Missing => {
                AttemptError::Failed { status, message }
            }
            error => error,
        }
    }

    fn build(&self) -> Result<Request<Full<Bytes>>> {
        let request = Request::builder()
            .header(HOST, self.address.to_string())
            .header(ATTEMPT_HEADER, self.id.to_string())
            .header(DEADLINE_HEADER, self.remaining.as_millis().to_string());
        let request = match &self.resume {
            Some(point) => {
                let ResumePoint { stream, offset, .. } = point;
                request
                    .method(Method::GET)
                    .uri(format!("{STREAMS_PATH}/{stream}?offset={offset}"))
                    .body(Full::default())
            }
            None => request
                .method(Method::POST)
                .uri(&self.call.path)
                .header(CONTENT_TYPE, "application/json")
                .body(Full::new(self.call.body.clone())),
        };
        request.map_err(|error| AttemptError::Rejected {
            status: StatusCode::BAD_REQUEST.as_u16(),
            message: error.to_string(),
        })
    }
}

impl From<SendFailure> for AttemptError {
    fn from(failure: SendFailure) -> Self {
        match failure {
            SendFailure::Unsent(error) => Self::Unreachable(error),
            SendFailure::Cut(error) => Self::Cut(error),
        }
    }
}

async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes> {
    let body = collect_body(body, max_bytes, BodyHold::unbounded()).await;
    body.map_err(|failure| AttemptError::Cut(failure.to_string()))
}

/// Returns the engine's name of its stream, if it is valid in a path.
fn stream_name(response: &Response<Incoming>) -> Option<&str> {
    let name = response.headers().get(STREAM_HEADER)?.to_str().ok()?;
    let fits = (1..=MAX_STREAM_NAME_BYTES).contains(&name.len())
        && name
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.'));
    fits.then_some(name)
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
    let body = read_body(response.into_body(), MAX_ERROR_BYTES).await;
    let error: Option<EndpointError> = serde_json::from_slice(&body.unwrap_or_default()).ok();
    let EndpointErrorBody { kind, message } = error.map(|error| error.error).unwrap_or_default();
    match kind.as_str() {
        "not_run" => return Err(AttemptError::Refused(message)),
        "unknown_stream" => return Err(AttemptError::UnknownStream(message)),
        _ => {}
    }
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

/// Whether an answer echoes the identity of its attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptEcho {
    Named,
    Missing,
}

impl AttemptEcho {
    /// Reads the echo. An answer that names another attempt is an error,
    /// whatever its status.
    fn read(response: &Response<Incoming>, id: AttemptId) -> Result<Self> {
        let Some(echo) = response.headers().get(ATTEMPT_HEADER) else {
            return Ok(Self::Missing);
        };
        if echo.as_bytes() == id.to_string().as_bytes() {
            return Ok(Self::Named);
        }
        let echo = String::from_utf8_lossy(echo.as_bytes());
        Err(AttemptError::WrongAttempt(echo.into_owned()))
    }

    fn require(self) -> Result<()> {
        match self {
            Self::Named => Ok(()),
            Self::Missing => Err(AttemptError::WrongAttempt("none".into())),
        }
    }
}
