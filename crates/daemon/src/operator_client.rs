use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::{AUTHORIZATION, ETAG, IF_MATCH};
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use savorywalk::attempt::RequestId;
use serde_json::Value;

use crate::operator_error::OperatorError;
use crate::{CommandError, Result};

const TIMEOUT: Duration = Duration::from_secs(10);
/// Sendings of one change under one patch id, when its answer is lost.
const TRIES: u32 = 3;
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Speaks to an entry's listener for operators.
pub(crate) struct OperatorClient {
    entry: SocketAddr,
    token: String,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A change of the configuration, for one version.
pub(crate) struct ChangeRequest {
    pub(crate) method: Method,
    pub(crate) path: &'static str,
    pub(crate) version: u64,
    /// Identity of the change; a new one when the operator gives none.
    pub(crate) id: Option<String>,
    pub(crate) body: Bytes,
}

/// What an entry answered.
pub(crate) struct OperatorReply {
    pub(crate) body: Bytes,
    /// The version in the entity tag, where there is one.
    pub(crate) version: Option<u64>,
}

impl OperatorClient {
    /// A client with the token that the file holds.
    pub(crate) fn new(entry: SocketAddr, token_file: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(token_file);
        let text = text.map_err(|error| CommandError::Unreadable {
            file: token_file.to_path_buf(),
            error,
        })?;
        let token = text.trim().to_string();
        if token.is_empty() {
            return Err(OperatorError::EmptyToken.into());
        }
        Ok(Self {
            entry,
            token,
            client: Client::builder(TokioExecutor::new()).build_http(),
        })
    }

    /// Reads a path.
    pub(crate) async fn get(&self, path: &str) -> Result<OperatorReply> {
        let request = self.builder(Method::GET, path);
        Ok(self.send(request, Bytes::new()).await?)
    }

    /// Sends a change. It is sent again under the same id when its answer is
    /// lost, so it is decided once.
    pub(crate) async fn change(&self, change: ChangeRequest) -> Result<OperatorReply> {
        let id = change.id.unwrap_or_else(|| RequestId::random().to_string());
        let mut tries = 1;
        loop {
            let request = self
                .builder(change.method.clone(), change.path)
                .header(IF_MATCH, format!("\"{}\"", change.version))
                .header("idempotency-key", &id);
            match self.send(request, change.body.clone()).await {
                Err(OperatorError::Unreachable { .. }) if tries < TRIES => tries += 1,
                result => return Ok(result?),
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    fn builder(&self, method: Method, path: &str) -> hyper::http::request::Builder {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.entry))
            .header(AUTHORIZATION, format!("Bearer {}", self.token))
    }

    async fn send(
        &self,
        builder: hyper::http::request::Builder,
        body: Bytes,
    ) -> std::result::Result<OperatorReply, OperatorError> {
        let request = builder
            .body(Full::new(body))
            .map_err(|error| self.unreachable(&error))?;
        let exchange = async {
            let response = self.client.request(request).await;
            let response = response.map_err(|error| self.unreachable(&error))?;
            let status = response.status();
            let tag = response.headers().get(ETAG);
            let version = tag
                .and_then(|tag| tag.to_str().ok())
                .and_then(|tag| tag.trim_matches('"').parse().ok());
            let body = response.into_body().collect().await;
            let body = body.map_err(|error| self.unreachable(&error))?.to_bytes();
            if status.is_success() {
                return Ok(OperatorReply { body, version });
            }
            Err(refusal(status.as_u16(), &body))
        };
        let exchange = tokio::time::timeout(TIMEOUT, exchange).await;
        exchange.unwrap_or_else(|error| Err(self.unreachable(&error)))
    }

    fn unreachable(&self, error: &dyn std::error::Error) -> OperatorError {
        let mut text = error.to_string();
        let mut source = error.source();
        while let Some(cause) = source {
            text = format!("{text}: {cause}");
            source = cause.source();
        }
        OperatorError::Unreachable {
            entry: self.entry,
            error: text,
        }
    }
}

/// The entry's own words, with what changed where it tells that.
fn refusal(status: u16, body: &[u8]) -> OperatorError {
    let document: Value = serde_json::from_slice(body).unwrap_or_default();
    let error = &document["error"];
    let text = |name: &str| error[name].as_str().unwrap_or("unknown").to_string();
    let mut message = text("message");
    for change in error["details"]["changes"].as_array().into_iter().flatten() {
        let paths = change["paths"].as_array().into_iter().flatten();
        let paths: Vec<&str> = paths.filter_map(Value::as_str).collect();
        let author = change["author"].as_str().unwrap_or("unknown");
        let version = &change["version"];
        message.push_str(&format!(
            "\n  version {version} by {author}: {}",
            paths.join(", ")
        ));
    }
    OperatorError::Refused {
        status,
        kind: text("kind"),
        message,
    }
}
