use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::header::{ACCEPT, AUTHORIZATION};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use savorywalk::pipeline::PipelineAnswer;

const EVENT_STREAM: &str = "text/event-stream";
const ANSWER_EVENT: &str = "event: answer\ndata: ";

/// Client of the demo.
pub(crate) type DemoClient = Client<HttpConnector, Full<Bytes>>;

/// One request of the demo.
pub(crate) struct DemoRequest<'a> {
    pub(crate) pipeline: &'a str,
    pub(crate) token: &'a str,
    pub(crate) input: &'a str,
    pub(crate) deadline: Duration,
    /// Ask for a stream of events.
    pub(crate) streamed: bool,
    /// Mark as non-idempotent under this key.
    pub(crate) key: Option<&'a str>,
}

/// What came of a demo request; the error is what a person should read.
pub(crate) type DemoResult = Result<PipelineAnswer, String>;

/// Sends a request.
pub(crate) async fn send(
    client: &DemoClient,
    entry: SocketAddr,
    demo: &DemoRequest<'_>,
) -> DemoResult {
    let body = serde_json::json!({"input": demo.input}).to_string();
    let mut request = Request::post(format!("http://{entry}/v1/pipelines/{}", demo.pipeline))
        .header(AUTHORIZATION, format!("Bearer {}", demo.token))
        .header(
            "savorywalk-deadline-ms",
            demo.deadline.as_millis().to_string(),
        );
    if demo.streamed {
        request = request.header(ACCEPT, EVENT_STREAM);
    }
    if let Some(key) = demo.key {
        request = request
            .header("idempotency-key", key)
            .header("savorywalk-idempotent", "false");
    }
    let request = request
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| error.to_string())?;
    let response = client
        .request(request)
        .await
        .map_err(|error| error.to_string())?;
    let status = response.status();
    let body = response
        .into_body()
        .collect()
        .await
        .map_err(|error| error.to_string())?;
    let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    if !status.is_success() {
        return Err(format!("status {status}: {text}"));
    }
    let json = match demo.streamed {
        true => answer_event(&text).ok_or(text.as_str())?,
        false => text.as_str(),
    };
    serde_json::from_str(json).map_err(|error| format!("{error} in {json}"))
}

fn answer_event(events: &str) -> Option<&str> {
    let (_, data) = events.split_once(ANSWER_EVENT)?;
    data.lines().next()
}
