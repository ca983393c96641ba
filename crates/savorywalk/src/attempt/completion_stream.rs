use eventsource_stream::{Event, EventStreamError, Eventsource};
use futures::{Stream, StreamExt};
use http_body_util::BodyDataStream;
use hyper::body::Incoming;

use super::stage_formats::CompletionChunk;
use super::{AttemptError, Result, StreamPiece};

/// Data of the event that ends a completion stream.
const END_OF_STREAM: &str = "[DONE]";

type StreamError = EventStreamError<hyper::Error>;

/// What came of a completion stream.
#[derive(Debug)]
pub(super) enum StreamItem {
    /// A token event.
    Piece(StreamPiece),
    /// The end marker, with the tokens that the engine counted.
    End(u64),
}

/// Reads a streamed completion to its end marker; anything less is cut.
pub(super) struct CompletionStream {
    events: std::pin::Pin<Box<dyn Stream<Item = std::result::Result<Event, StreamError>> + Send>>,
    tokens: u64,
    finished: bool,
}

impl CompletionStream {
    /// A reader of `body`.
    pub(super) fn new(body: Incoming) -> Self {
        Self {
            events: BodyDataStream::new(body).eventsource().boxed(),
            tokens: 0,
            finished: false,
        }
    }

    /// The next token event, or the end.
    pub(super) async fn next(&mut self) -> Result<StreamItem> {
        while let Some(event) = self.events.next().await {
            let event = event.map_err(|error| AttemptError::Cut(error.to_string()))?;
            if event.data == END_OF_STREAM {
                return self.end();
            }
            if let Some(piece) = self.read(&event.data)? {
                return Ok(StreamItem::Piece(piece));
            }
        }
        let error = "the stream ended without its last event";
        Err(AttemptError::Cut(error.into()))
    }

    /// Reads on to the end of the body, after which the connection can be
    /// used again; tells whether it came.
    pub(super) async fn drain(mut self) -> bool {
        self.events.next().await.is_none()
    }

    fn read(&mut self, data: &str) -> Result<Option<StreamPiece>> {
        let chunk: CompletionChunk = serde_json::from_str(data)
            .map_err(|error| AttemptError::Unreadable(error.to_string()))?;
        if let Some(usage) = chunk.usage {
            self.tokens = usage.total_tokens;
        }
        let Some(choice) = chunk.choices.into_iter().next() else {
            return Ok(None);
        };
        self.finished |= choice.finish_reason.is_some();
        Ok(Some(StreamPiece {
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
