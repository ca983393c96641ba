use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::task::AbortHandle;

use super::endpoint_paths::EndpointStream;
use super::guarded_stream::GuardedStream;
use super::retry_budget::SendToken;
use crate::prelude::*;
use crate::registry::IncarnationToken;

/// Size limit of a response body that is read completely.
pub(super) const MAX_RESPONSE_BYTES: usize = 16 << 20;

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
        let handshake = http1::Builder::new()
            .preserve_header_case(true)
            .handshake(TokioIo::new(GuardedStream::new(stream, incarnation_token)))
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
        let broken = |error: hyper::Error| CallError::Broken(error.to_string());
        let request = request.map(Full::new);
        self.sender.send_request(request).await.map_err(broken)
    }

    /// Sends a probe, and waits for the head of the answer.
    pub(super) async fn probe(&mut self, request: Request<Bytes>) -> Result<(), CallError> {
        let broken = |error: hyper::Error| CallError::Broken(error.to_string());
        let sending = self.sender.send_request(request.map(Full::new));
        sending.await.map(drop).map_err(broken)
    }
}

/// Reads a response body to its proven end.
pub(super) async fn read_complete(body: Incoming) -> Result<Bytes, CallError> {
    let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
    let body = body.map_err(|error| CallError::Broken(error.to_string()))?;
    Ok(body.to_bytes())
}
