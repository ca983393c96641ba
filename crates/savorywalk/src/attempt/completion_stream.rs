use eventsource_stream::{Event, EventStreamError, Eventsource};
use futures::{Stream, StreamExt};
use hyper::body::Body;

use super::stage_formats::CompletionChunk;
use super::{AttemptError, Result, TokenEvent};
use crate::http_bodies::{EventFailure, EventLines};
use crate::prelude::*;

/// Data of the event that ends a completion stream.
const END_OF_STREAM: &str = "[DONE]";

type StreamError = EventStreamError<EventFailure>;

/// One item read from a completion stream.
#[derive(Debug)]
pub(super) enum StreamItem {
    /// A token event.
    Token(TokenEvent),
    /// The end marker, with the total number of tokens that the engine counted.
    End(u64),
}

/// Reads a streamed completion. A stream without `finish_reason` and end marker
/// is an error.
pub(super) struct CompletionStream {
    events: std::pin::Pin<Box<dyn Stream<Item = std::result::Result<Event, StreamError>> + Send>>,
    tokens: u64,
    finished: bool,
}

impl CompletionStream {
    /// Creates a reader of `body`.
    pub(super) fn new<B>(body: B) -> Self
    where
        B: Body<Data = Bytes, Error: std::fmt::Display> + Send + Unpin + 'static,
    {
        // The parser searches an unfinished line from its start for each piece, so it gets whole ones.
        let lines = EventLines::new(body).into_stream();
        Self {
            events: lines.eventsource().boxed(),
            tokens: 0,
            finished: false,
        }
    }

    /// Returns the next token event, or the end.
    pub(super) async fn next(&mut self) -> Result<StreamItem> {
        while let Some(event) = self.events.next().await {
            let event = event.map_err(|error| AttemptError::Cut(error.to_string()))?;
            if event.data == END_OF_STREAM {
                return self.end();
            }
            if let Some(token_event) = self.parse_chunk(&event.data)? {
                return Ok(StreamItem::Token(token_event));
            }
        }
        let error = "the stream ended without its last event";
        Err(AttemptError::Cut(error.into()))
    }

    /// Reads one more item and returns whether the body has ended there, so
    /// that the connection can be reused.
    pub(super) async fn drain(mut self) -> bool {
        self.events.next().await.is_none()
    }

    fn parse_chunk(&mut self, data: &str) -> Result<Option<TokenEvent>> {
        let chunk: CompletionChunk = serde_json::from_str(data)
            .map_err(|error| AttemptError::Unreadable(error.to_string()))?;
        if let Some(usage) = chunk.usage {
            self.tokens = usage.total_tokens;
        }
        let Some(choice) = chunk.choices.into_iter().next() else {
            return Ok(None);
        };
        self.finished |= choice.finish_reason.is_some();
        Ok(Some(TokenEvent {
            offset: chunk.offset,
            text: choice.text,
        }))
    }

    fn end(&self) -> Result<StreamItem> {
        if !self.finished {
            return Err(AttemptError::Cut("no finish_reason came".into()));
        }
        Ok(StreamItem::End(self.tokens))
    }
}

#[cfg(test)]
#[path = "completion_stream_tests.rs"]
mod tests;
