use hyper::header::CONTENT_TYPE;
use hyper::http::response;

use super::forward_attempt::is_delimited;

/// Content type of a stream of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

/// What shows that a stream whose body ended without an error is complete. See
/// docs/design/answer-ends.md.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndProof {
    /// The length or the last chunk. An answer that is no stream of events and has neither
    /// counts as complete unless its connection was reset.
    Framing,
    /// The end of an event, in addition to the framing if there is one.
    Events,
}

impl EndProof {
    /// The proof that an answer with this head requires.
    pub(super) fn of(head: &response::Parts) -> Self {
        let content_type = head.headers.get(CONTENT_TYPE);
        let content_type = content_type.map(|value| value.to_str().unwrap_or_default());
        match content_type {
            Some(text) if is_event_stream(text) => Self::Events,
            Some(_) => Self::Framing,
            None if is_delimited(&head.headers) => Self::Framing,
            None => Self::Events,
        }
    }
}

fn is_event_stream(content_type: &str) -> bool {
    let essence = content_type.split(';').next().unwrap_or_default();
    essence.trim().eq_ignore_ascii_case(EVENT_STREAM)
}
