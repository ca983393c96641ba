use http_body_util::BodyExt;
use hyper::body::Body;

use super::event_buffer::EventBuffer;
use super::forward_attempt::SourceFrame;
use super::stalled_calls::{FrameKind, StreamProgress};
use super::stream_end::EndProof;
use super::stream_failure::StreamFailure;
use crate::prelude::*;

/// The body of a stream, as one endpoint sends it.
#[derive(Debug)]
pub(super) struct EventBody<B> {
    body: B,
    /// What was read of the body before this one took the place of another one.
    early: Option<SourceFrame>,
    proof: EndProof,
    progress: StreamProgress,
}

/// What was read of a stream.
#[derive(Debug)]
pub(super) enum EventRead {
    /// Events, or a part of a large one.
    Events(Bytes),
    /// A part of other content, which callers get at its end.
    Content,
    /// The body has ended without an error.
    Ended,
    Failed(StreamFailure),
}

impl<B> EventBody<B>
where
    B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    /// Begins with `early`, and continues with `body`.
    pub(super) fn new(body: B, early: Option<SourceFrame>, proof: EndProof) -> Self {
        Self {
            body,
            early,
            proof,
            progress: StreamProgress::begin(Instant::now()),
        }
    }

    /// Reads until something has arrived that callers get. Each frame is reported to `record`.
    /// Cancelling the read loses nothing.
    pub(super) async fn read(
        &mut self,
        buffer: &mut EventBuffer,
        mut record: impl FnMut(FrameKind, &StreamProgress),
    ) -> EventRead {
        loop {
            let frame = match self.frame().await {
                Some(Ok(frame)) => frame,
                Some(Err(error)) => {
                    return EventRead::Failed(StreamFailure::Cut(error.to_string()));
                }
                None => return EventRead::Ended,
            };
            let Ok(data) = frame.into_data() else {
                return EventRead::Failed(StreamFailure::NoData);
            };
            let events = match buffer.push(self.proof, &data) {
                Ok(events) => events,
                Err(limit) => return EventRead::Failed(StreamFailure::TooLarge(limit)),
            };
            let is_content = self.proof == EndProof::Framing;
            let now = Instant::now();
            let kind = self
                .progress
                .record_frame(now, is_content || events.is_some());
            record(kind, &self.progress);
            match events {
                Some(events) => return EventRead::Events(events),
                None if is_content => return EventRead::Content,
                // Frames may be ready for as long as the endpoint sends: other tasks have their turn.
                None => tokio::task::coop::consume_budget().await,
            }
        }
    }

    async fn frame(&mut self) -> SourceFrame {
        match self.early.take() {
            Some(frame) => frame,
            None => self.body.frame().await,
        }
    }

    pub(super) fn progress(&self) -> &StreamProgress {
        &self.progress
    }

    pub(super) fn proof(&self) -> EndProof {
        self.proof
    }
}

#[cfg(test)]
#[path = "event_body_tests.rs"]
mod tests;
