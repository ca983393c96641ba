use super::EventSplitter;
use super::answer_memory::{AnswerHold, AnswerLimit};
use super::stream_end::EndProof;
use crate::http_bodies::MissingEvent;
use crate::prelude::*;

/// The event of a stream that is not complete yet, with the memory that it needs.
#[derive(Debug)]
pub(super) struct EventBuffer {
    pub(super) splitter: EventSplitter,
    hold: AnswerHold,
}

impl EventBuffer {
    /// Creates the buffer of a stream that continues after `last_event`.
    pub(super) fn after(last_event: Option<u64>, hold: AnswerHold) -> Self {
        Self {
            splitter: EventSplitter::after(last_event),
            hold,
        }
    }

    /// Adds the data of a frame, and returns the events that are complete with it. Bytes that hold
    /// none are no answer, unless the stream is one of other content.
    ///
    /// # Errors
    ///
    /// The limit that the stream exceeds.
    pub(super) fn push(
        &mut self,
        proof: EndProof,
        data: &[u8],
    ) -> Result<Option<Bytes>, AnswerLimit> {
        let events = match proof {
            EndProof::Framing => self.splitter.push(data),
            EndProof::Events => self.splitter.push_events(data).map_err(|missing| {
                let MissingEvent(bytes) = missing;
                self.hold.exceed(AnswerLimit::Event { bytes })
            })?,
        };
        self.hold.resize(self.splitter.partial_bytes())?;
        Ok(events)
    }
}
