use std::convert::Infallible;

use futures::Stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use super::ApiError;
use crate::prelude::*;

/// Body of every response: whole or streamed.
pub type ApiBody = UnsyncBoxBody<Bytes, Infallible>;

/// Response of every call.
pub type ApiResponse = Response<ApiBody>;

const JSON: &str = "application/json";
const TEXT: &str = "text/plain; version=0.0.4; charset=utf-8";
const EVENT_STREAM: &str = "text/event-stream";

fn whole(status: StatusCode, content_type: &'static str, body: Bytes) -> ApiResponse {
    let mut response = Response::new(Full::new(body).boxed_unsync());
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// A JSON response.
pub(super) fn json<T: Serialize>(status: StatusCode, value: &T) -> ApiResponse {
    match serde_json::to_vec(value) {
        Ok(body) => whole(status, JSON, body.into()),
        Err(error) => {
            log_event!(error, "response_not_encoded", error = error);
            whole(
                StatusCode::INTERNAL_SERVER_ERROR,
                JSON,
                Bytes::from_static(b"{}"),
            )
        }
    }
}

/// A plain text response.
pub(super) fn text(status: StatusCode, body: impl Into<Bytes>) -> ApiResponse {
    whole(status, TEXT, body.into())
}

/// An error in its JSON form, with `Retry-After` where it passes.
pub(super) fn error(error: &ApiError, request_id: &str) -> ApiResponse {
    let mut response = json(error.status(), &error.document(request_id));
    if let Some(retry_after) = error.retry_after() {
        let seconds = retry_after.as_secs().max(1);
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// A stream of server-sent events.
pub(super) fn event_stream(events: impl Stream<Item = Bytes> + Send + 'static) -> ApiResponse {
    use futures::StreamExt;
    let frames = events.map(|event| Ok::<_, Infallible>(Frame::data(event)));
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(EVENT_STREAM));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}

/// One server-sent event with a JSON value as its data.
pub(super) fn event<T: Serialize>(name: &str, value: &T) -> Bytes {
    let data = serde_json::to_string(value).unwrap_or_default();
    format!("event: {name}\ndata: {data}\n\n").into()
}
