//! Bodies of a stand-in's answers, whole, cut and doubled.

use std::io;

use bytes::Bytes;
use futures::{StreamExt, TryStreamExt};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode, Version};
use serde::Serialize;
use serde_json::json;

use crate::EndpointFault;
use crate::engine_stream::{StreamPiece, StreamReader, end_event, joined};

pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

pub(crate) fn whole(status: StatusCode, text: String) -> Response<Body> {
    let body = Full::new(Bytes::from(text)).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    match serde_json::to_string(value) {
        Ok(text) => whole(status, text),
        Err(error) => refusal(
            StatusCode::INTERNAL_SERVER_ERROR,
            "internal",
            &error.to_string(),
        ),
    }
}

pub(crate) fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::default());
    *response.status_mut() = status;
    response
}

pub(crate) fn refusal(status: StatusCode, kind: &str, message: &str) -> Response<Body> {
    let document = json!({"error": {"kind": kind, "message": message}});
    whole(status, document.to_string())
}

/// The answer of a stage that is not streamed.
pub(crate) fn answer(text: String, fault: EndpointFault) -> Response<Body> {
    match fault {
        EndpointFault::Cut => cut(text),
        EndpointFault::CutShort => whole(StatusCode::OK, half(&text).to_string()),
        EndpointFault::Unframed => without_framing(whole(StatusCode::OK, half(&text).to_string())),
        EndpointFault::Twice => whole(StatusCode::OK, format!("{text}{text}")),
        EndpointFault::None
        | EndpointFault::Slow(_)
        | EndpointFault::Refuse
        | EndpointFault::Fail
        | EndpointFault::Silent
        | EndpointFault::Late(_)
        | EndpointFault::Crossed => whole(StatusCode::OK, text),
    }
}

/// A stream of events from where `reader` stands; a cut one stops in the middle.
pub(crate) fn event_stream(
    reader: StreamReader,
    fault: EndpointFault,
    guard: impl Send + 'static,
) -> Response<Body> {
    let source = EventSource {
        limit: match fault {
            EndpointFault::Cut | EndpointFault::CutShort | EndpointFault::Unframed => {
                Some(reader.stream().length() / 2)
            }
            EndpointFault::None
            | EndpointFault::Slow(_)
            | EndpointFault::Refuse
            | EndpointFault::Fail
            | EndpointFault::Silent
            | EndpointFault::Late(_)
            | EndpointFault::Twice
            | EndpointFault::Crossed => None,
        },
        copies: if fault == EndpointFault::Twice { 2 } else { 1 },
        breaks: fault == EndpointFault::Cut,
        over: false,
        reader,
    };
    let frames = futures::stream::unfold((source, guard), |(mut source, guard)| async move {
        let frame = source.next().await?;
        Some((frame, (source, guard)))
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let content_type = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    if fault == EndpointFault::Unframed {
        return without_framing(response);
    }
    response
}

/// Makes an answer end with its connection, as hyper sends one of HTTP/1.0.
fn without_framing(response: Response<Body>) -> Response<Body> {
    let (mut parts, body) = response.into_parts();
    parts.version = Version::HTTP_10;
    // A body of unknown length gets no header that tells it.
    let frames = body.into_data_stream().map_ok(Frame::data);
    Response::from_parts(parts, StreamBody::new(frames).boxed_unsync())
}

/// The frames of one streamed answer.
struct EventSource {
    reader: StreamReader,
    /// Events after which the answer is cut.
    limit: Option<usize>,
    /// How often each event is sent.
    copies: usize,
    /// Whether a cut breaks the connection.
    breaks: bool,
    over: bool,
}

impl EventSource {
    async fn next(&mut self) -> Option<io::Result<Frame<Bytes>>> {
        if self.over {
            return None;
        }
        if self.limit == Some(0) {
            self.over = true;
            if !self.breaks {
                return None;
            }
            return Some(Err(broken().await));
        }
        match self.reader.next().await? {
            StreamPiece::Events(events) => {
                let kept = events.len().min(self.limit.unwrap_or(usize::MAX));
                self.limit = self.limit.map(|limit| limit - kept);
                Some(Ok(Frame::data(joined(&events[..kept], self.copies))))
            }
            StreamPiece::End => Some(Ok(Frame::data(end_event()))),
            StreamPiece::Cancelled => Some(Err(broken().await)),
        }
    }
}

/// Half of an answer, then a broken connection.
fn cut(text: String) -> Response<Body> {
    let start = Bytes::from(half(&text).to_string());
    let start = futures::stream::once(async { Ok(Frame::data(start)) });
    let end = futures::stream::once(async { Err(broken().await) });
    Response::new(StreamBody::new(start.chain(end)).boxed_unsync())
}

fn half(text: &str) -> &str {
    &text[..text.floor_char_boundary(text.len() / 2)]
}

/// What breaks a connection, once what was written before it has been sent:
/// the server flushes when a body has nothing to give.
async fn broken() -> io::Error {
    tokio::task::yield_now().await;
    io::Error::other("cut")
}
