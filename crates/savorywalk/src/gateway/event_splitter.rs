use bytes::{Buf, BytesMut};

use crate::prelude::*;

/// Most bytes of one event; a longer one is passed on in parts and its stream
/// can't be resumed.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Cuts a stream of server-sent events at their ends, so that only whole
/// events are passed on and another endpoint can go on after the last one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// A splitter for a stream that goes on after the event `last_id`.
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Takes the next bytes and gives back the whole events that are there.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.partial.extend_from_slice(bytes);
        let end = match last_event_end(&self.partial) {
            Some(end) => end,
            None if self.partial.len() > MAX_EVENT_BYTES => self.partial.len(),
            None => return None,
        };
        let events = self.partial.split_to(end).freeze();
        if let Some(id) = last_id_of(&events) {
            self.last_id = Some(id);
        }
        Some(events)
    }

    /// What came after the last whole event; taken when a stream has ended
    /// well, dropped when it broke off.
    pub fn finish(&mut self) -> Option<Bytes> {
        let rest = self.partial.split().freeze();
        (!rest.is_empty()).then_some(rest)
    }

    /// Drops what came after the last whole event.
    pub fn drop_partial(&mut self) {
        let partial = self.partial.len();
        self.partial.advance(partial);
    }

    /// Identity of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }
}

/// The end of the last event in `bytes`: an empty line ends an event.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).rposition(|pair| pair == b"\n\n");
    let crlf = bytes.windows(4).rposition(|four| four == b"\r\n\r\n");
    let ends = [lf.map(|at| at + 2), crlf.map(|at| at + 4)];
    ends.into_iter().flatten().max()
}

fn last_id_of(events: &[u8]) -> Option<u64> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    id.trim().parse().ok()
}

#[cfg(test)]
#[path = "event_splitter_tests.rs"]
mod tests;
