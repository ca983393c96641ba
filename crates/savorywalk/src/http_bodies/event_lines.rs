use futures::Stream;
use http_body_util::BodyExt;
use hyper::body::Body;

use super::event_splitter::take_line;
use super::{EventSplitter, MissingEvent};
use crate::prelude::*;

/// Reads the whole events of a stream, line by line.
#[derive(Debug)]
pub(crate) struct EventLines<B> {
    body: B,
    splitter: EventSplitter,
    /// Whole events whose lines have not been read yet.
    events: Bytes,
}

/// Why the events of a stream could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum EventFailure {
    #[error("{0}")]
    Broken(String),
    #[error(transparent)]
    MissingEvent(#[from] MissingEvent),
}

impl<B> EventLines<B>
where
    B: Body<Data = Bytes, Error: std::fmt::Display> + Unpin,
{
    pub(crate) fn new(body: B) -> Self {
        Self {
            body,
            splitter: EventSplitter::default(),
            events: Bytes::new(),
        }
    }

    /// Returns the lines, each with its line break, as a stream. It ends after a failure.
    pub(crate) fn into_stream(self) -> impl Stream<Item = Result<Bytes, EventFailure>> {
        futures::stream::unfold(Some(self), |lines| async move {
            let mut lines = lines?;
            match lines.next().await? {
                Ok(line) => Some((Ok(line), Some(lines))),
                Err(failure) => Some((Err(failure), None)),
            }
        })
    }

    async fn next(&mut self) -> Option<Result<Bytes, EventFailure>> {
        while self.events.is_empty() {
            let frame = match self.body.frame().await? {
                Ok(frame) => frame,
                Err(error) => return Some(Err(EventFailure::Broken(error.to_string()))),
            };
            // Trailers carry nothing that is used.
            if let Ok(data) = frame.into_data() {
                match self.splitter.push_events(&data) {
                    Ok(events) => self.events = events.unwrap_or_default(),
                    Err(missing) => return Some(Err(missing.into())),
                }
            }
            // Frames may be ready for as long as the sender sends: other tasks have their turn.
            tokio::task::coop::consume_budget().await;
        }
        Some(Ok(with_line_feed(take_line(&mut self.events))))
    }
}

/// Replaces a carriage return at the end of a line, which may be the first half of a line break, by a
/// line feed.
fn with_line_feed(line: Bytes) -> Bytes {
    match line.strip_suffix(b"\r") {
        Some(text) => [text, b"\n"].concat().into(),
        None => line,
    }
}
