use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::task::AbortHandle;

use super::answer_memory::AnswerLimit;
use super::endpoint_paths::EndpointStream;
use super::guarded_stream::{GuardedStream, HeadMeter};
use super::retry_budget::SendToken;
use crate::prelude::*;
use crate::registry::IncarnationToken;

/// Size of the read buffer of a connection, and of the largest head.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// Why a call to an endpoint failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(super) enum CallError {
    /// Nothing was sent.
    #[error("no connection: {0}")]
    Unsent(String),
    /// Nothing was sent because the endpoint is unavailable to this entry.
    #[error("not sent: {0}")]
    Withheld(&'static str),
    /// Nothing was sent because the retry budget has no token.
    #[error("not sent: the retry budget is used up")]
    OverBudget,
    /// Nothing was sent because the endpoint, which was to replace a silent one, is silent itself.
    #[error("not sent: the endpoint is silent")]
    Silent,
    /// The connection broke before the response was complete.
    #[error("connection broke before the response was complete: {0}")]
    Broken(String),
    /// The answer exceeded a limit, so the connection was closed.
    #[error("the answer was given up: {0}")]
    TooLarge(#[from] AnswerLimit),
    /// The request was sent, but no usable response came back.
    #[error("no usable response: {0}")]
    Lost(String),
}

/// A connection to an endpoint that carries one call at a time. Dropping it closes the
/// connection, which signals to the endpoint that the result is no longer needed.
#[derive(Debug)]
pub(super) struct EndpointCall {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    head_meter: Arc<HeadMeter>,
    is_relayed: bool,
}

impl Drop for EndpointCall {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl EndpointCall {
    /// Starts a call to an incarnation of an endpoint over a new connection, which breaks when
    /// that incarnation ends. An error means that nothing was sent.
    pub(super) async fn start(
        stream: EndpointStream,
        incarnation_token: &IncarnationToken,
    ) -> Result<Self, CallError> {
        let is_relayed = stream.is_relayed();
        let stream = GuardedStream::new(stream, incarnation_token);
        let head_meter = stream.head_meter();
        let handshake = http1::Builder::new()
            .preserve_header_case(true)
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) =
            handshake.map_err(|error| CallError::Unsent(error.to_string()))?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log_event!(debug, "endpoint_connection_ended", error = error);
            }
        });
        Ok(Self {
            sender,
            driver: driver.abort_handle(),
            head_meter,
            is_relayed,
        })
    }

    /// Whether another entry opened the connection.
    pub(super) fn is_relayed(&self) -> bool {
        self.is_relayed
    }

    /// Whether the connection can carry another call.
    pub(super) fn is_open(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends the request and waits for the head of the response.
    pub(super) async fn send(
        &mut self,
        request: Request<Bytes>,
        _token: SendToken,
    ) -> Result<Response<Incoming>, CallError> {
        self.exchange(request).await
    }

    /// Sends a probe, and waits for the head of the answer.
    pub(super) async fn probe(&mut self, request: Request<Bytes>) -> Result<(), CallError> {
        self.exchange(request).await.map(drop)
    }

    async fn exchange(&mut self, request: Request<Bytes>) -> Result<Response<Incoming>, CallError> {
        self.head_meter.start();
        let response = self.sender.send_request(request.map(Full::new)).await;
        let is_exceeded = self.head_meter.stop();
        response.map_err(|error| match is_exceeded || error.is_parse_too_large() {
            true => CallError::TooLarge(AnswerLimit::Head),
            false => CallError::Broken(error.to_string()),
        })
    }
}
