use eventsource_stream::Eventsource;
use futures::StreamExt;
use http_body_util::BodyDataStream;
use hyper::body::Incoming;

use super::stage_formats::CompletionChunk;
use super::{AttemptError, Result, StageReply, TokenSink};
use crate::prelude::*;

/// Data of the event that ends a completion stream.
const END_OF_STREAM: &str = "[DONE]";

/// Reads a streamed completion to its end marker; anything less is cut.
pub(super) async fn read_completion(
    body: Incoming,
    sink: Option<&TokenSink>,
) -> Result<StageReply> {
    let mut events = BodyDataStream::new(body).eventsource();
    let mut text = String::new();
    let mut tokens = 0;
    let mut finished = false;
    while let Some(event) = events.next().await {
        let event = event.map_err(|error| AttemptError::Cut(error.to_string()))?;
        if event.data == END_OF_STREAM {
            return whole(text, tokens, finished);
        }
        let chunk: CompletionChunk = serde_json::from_str(&event.data)
            .map_err(|error| AttemptError::Unreadable(error.to_string()))?;
        if let Some(usage) = chunk.usage {
            tokens = usage.total_tokens;
        }
        for choice in chunk.choices {
            finished |= choice.finish_reason.is_some();
            text.push_str(&choice.text);
            pass_on(sink, choice.text).await;
        }
    }
    Err(AttemptError::Cut(
        "the stream ended without its last event".into(),
    ))
}

fn whole(text: String, tokens: u64, finished: bool) -> Result<StageReply> {
    if !finished {
        return Err(AttemptError::Cut("no finish_reason came".into()));
    }
    Ok(StageReply::Text { text, tokens })
}

async fn pass_on(sink: Option<&TokenSink>, piece: String) {
    let Some(sink) = sink else { return };
    if sink.send(piece).await.is_err() {
        log_event!(debug, "token_sink_closed");
    }
}
