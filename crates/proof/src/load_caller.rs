use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::header::AUTHORIZATION;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use savorywalk::pipeline::PipelineAnswer;
use savorywalk::prelude::*;
use serde_json::Value;

use crate::{EntryName, HistoryBook, HistoryEvent, RequestMark};

/// A caller that records what it sent and what it was told.
#[derive(Clone, Debug)]
pub struct LoadCaller {
    client: Client<HttpConnector, Full<Bytes>>,
    book: Arc<HistoryBook>,
    token: String,
}

/// One request of a run.
#[derive(Clone, Debug)]
pub struct LoadRequest {
    /// Its identity, which is part of its input.
    pub mark: RequestMark,
    /// Pipeline that it calls.
    pub pipeline: String,
    /// True when it is marked non-idempotent, with its mark as the key.
    pub non_idempotent: bool,
}

/// What a caller was told, as far as a run needs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// Whole and right.
    Answered,
    /// A typed error of this kind.
    Refused(String),
    /// Nothing: the connection broke.
    Cut,
    /// Nothing: the entry accepted no connection.
    Unreached,
}

/// How a call ended without an answer or a typed error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExchangeError {
    /// No connection was accepted, so the request was not sent.
    Unreached,
    /// The connection broke, or what came was neither.
    Cut,
}

impl LoadRequest {
    /// The input that carries the mark through every stage.
    pub fn input(&self) -> String {
        format!("Summary for mark {} please", self.mark.0)
    }

    /// The text that the stand-in engine makes of the input.
    fn expected(&self) -> String {
        format!("In short: {}", self.input())
    }
}

/// The mark in a body that a stand-in received.
pub fn mark_in(body: &str) -> Option<RequestMark> {
    let (_, rest) = body.split_once("Summary for mark ")?;
    let mark = rest.split_whitespace().next()?;
    Some(RequestMark(mark.to_string()))
}

impl LoadCaller {
    /// A caller with a workspace's token.
    pub fn new(book: Arc<HistoryBook>, token: String) -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self {
            client,
            book,
            token,
        }
    }

    /// Sends a request to one entry and records both ends of the call.
    pub async fn call(
        &self,
        entry: &EntryName,
        address: SocketAddr,
        request: &LoadRequest,
    ) -> CallOutcome {
        self.book.record(HistoryEvent::Sent {
            request: request.mark.clone(),
            idempotent: !request.non_idempotent,
        });
        let outcome = self.exchange(address, request).await;
        let mark = request.mark.clone();
        match outcome {
            Ok(Ok(answer)) => {
                self.book.record(HistoryEvent::Answered {
                    request: mark,
                    content: answer.answer.trim().to_string(),
                    expected: request.expected(),
                });
                CallOutcome::Answered
            }
            Ok(Err(kind)) => {
                self.book.record(match kind.as_str() {
                    "not_run" => HistoryEvent::NotRun { request: mark },
                    _ => HistoryEvent::Failed {
                        request: mark,
                        kind: kind.clone(),
                    },
                });
                CallOutcome::Refused(kind)
            }
            Err(ExchangeError::Unreached) => {
                self.book.record(HistoryEvent::Unreached { request: mark });
                CallOutcome::Unreached
            }
            Err(ExchangeError::Cut) => {
                let entry = entry.clone();
                self.book.record(HistoryEvent::Cut {
                    request: mark,
                    entry,
                });
                CallOutcome::Cut
            }
        }
    }

    /// The answer or the kind of the error, or how the call broke.
    async fn exchange(
        &self,
        address: SocketAddr,
        request: &LoadRequest,
    ) -> Result<Result<PipelineAnswer, String>, ExchangeError> {
        let body = serde_json::json!({"input": request.input()}).to_string();
        let uri = format!("http://{address}/v1/pipelines/{}", request.pipeline);
        let mut call = Request::post(uri).header(AUTHORIZATION, format!("Bearer {}", self.token));
        if request.non_idempotent {
            call = call
                .header("savorywalk-idempotent", "false")
                .header("idempotency-key", &request.mark.0);
        }
        let cut = |_| ExchangeError::Cut;
        let call = call
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| ExchangeError::Cut)?;
        let response = self.client.request(call).await;
        let response = response.map_err(|error| match error.is_connect() {
            true => ExchangeError::Unreached,
            false => ExchangeError::Cut,
        })?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(|_| ExchangeError::Cut)?.to_bytes();
        if status.is_success() {
            return serde_json::from_slice(&body).map(Ok).map_err(cut);
        }
        let error: Value = serde_json::from_slice(&body).map_err(cut)?;
        let kind = error["error"]["kind"].as_str();
        kind.map(|kind| Err(kind.to_string()))
            .ok_or(ExchangeError::Cut)
    }
}
