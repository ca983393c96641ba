use std::convert::Infallible;

use futures::Stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use hyper::header::{
    ALLOW, CACHE_CONTROL, CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE,
};
use hyper::{Response, StatusCode, Version};

use super::ApiError;
use crate::attempt::RequestId;
use crate::prelude::*;

/// Body of every response: whole or streamed.
pub type ApiBody = UnsyncBoxBody<Bytes, Infallible>;

/// Response of every call.
pub type ApiResponse = Response<ApiBody>;

/// Header of every response: the request's identity, as in logs and errors.
pub const REQUEST_HEADER: &str = "savorywalk-request";

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

/// A response whose JSON is written already.
pub(super) fn written_json(status: StatusCode, body: Bytes) -> ApiResponse {
    whole(status, JSON, body)
}

/// A plain text response.
pub(super) fn text(status: StatusCode, body: impl Into<Bytes>) -> ApiResponse {
    whole(status, TEXT, body.into())
}

/// An error in its JSON form, with the headers that its status asks for.
pub(super) fn error(error: &ApiError, id: RequestId) -> ApiResponse {
    let mut response = json(error.status(), &error.document(&id.to_string()));
    let headers = response.headers_mut();
    if let Some(retry_after) = error.retry_after() {
        let seconds = retry_after.as_secs().max(1);
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    if let ApiError::MethodNotAllowed(allowed) = error {
        let methods = allowed.replace(" or ", ", ");
        headers.extend(HeaderValue::from_str(&methods).map(|methods| (ALLOW, methods)));
    }
    if let ApiError::Unauthorized = error {
        headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    name_request(&mut response, id);
    response
}

/// Puts the request's identity on a response.
pub(super) fn name_request(response: &mut ApiResponse, id: RequestId) {
    if let Ok(id) = HeaderValue::from_str(&id.to_string()) {
        response.headers_mut().insert(REQUEST_HEADER, id);
    }
}

/// Closes the connection after a response. HTTP/2 has no such header: there
/// the server's own goodbye does it.
pub(super) fn close_connection<B>(response: &mut Response<B>, version: Version) {
    if version <= Version::HTTP_11 {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
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

/// One server-sent event whose JSON is written already, on one line.
pub(super) fn written_event(name: &str, json: &[u8]) -> Bytes {
    let data = String::from_utf8_lossy(json);
    format!("event: {name}\ndata: {data}\n\n").into()
}
