use bytes::BytesMut;

use crate::prelude::*;

/// Maximum size of one event, in bytes. A larger one is passed on in parts, and its stream
/// can't be resumed within it.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Byte order mark, which may precede the first line of a stream.
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

/// Splits a stream of server-sent events at the ends of events, so that only complete
/// events are passed on and another endpoint can continue after the last one.
///
/// Lines end with LF, CR LF or CR, as in the HTML standard; an empty line ends an event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Bytes that have not been passed on.
    partial: BytesMut,
    /// Start of the first line of `partial` that may be incomplete.
    next_line: usize,
    /// Whether a part of the current event has been passed on.
    has_passed_part: bool,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a stream that continues after the event `last_id`.
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Adds the next bytes and returns the complete events, if there are any.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.partial.extend_from_slice(bytes);
        let end = match self.find_last_end() {
            Some(end) => {
                self.has_passed_part = false;
                end
            }
            None if self.partial.len() > MAX_EVENT_BYTES => {
                self.has_passed_part = true;
                self.next_line
            }
            None => return None,
        };
        // A line longer than an event may be is passed on before its end.
        let end = if end == 0 { self.partial.len() } else { end };
        let events = self.partial.split_to(end).freeze();
        self.next_line = self.next_line.saturating_sub(end);
        if let Some(id) = last_id_of(&events) {
            self.last_id = Some(id);
        }
        Some(events)
    }

    /// End of the last complete event among the bytes that have not been passed on.
    fn find_last_end(&mut self) -> Option<usize> {
        let mut last_end = None;
        while let Some(line) = next_line(&self.partial[self.next_line..]) {
            let end = self.next_line + line.bytes;
            if line.is_empty {
                last_end = Some(end);
            } else if line.may_continue {
                break;
            }
            self.next_line = end;
        }
        last_end
    }

    /// Whether the bytes so far end within an event, so that a stream that ends here has been
    /// broken off. Comments and `retry` lines may follow the last event.
    pub fn is_within_event(&self) -> bool {
        let mut rest = &self.partial[..];
        while let Some(line) = next_line(rest) {
            if !rest.starts_with(b":") && !rest.starts_with(b"retry:") {
                return true;
            }
            rest = &rest[line.bytes..];
        }
        self.has_passed_part || !rest.is_empty()
    }

    /// Whether another endpoint can continue after the last complete event.
    pub fn is_resumable(&self) -> bool {
        !self.has_passed_part
    }

    /// Number of bytes that have not been passed on.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Returns the bytes after the last complete event. They are passed on if a stream has
    /// ended properly, and dropped if it was cut.
    pub fn finish(&mut self) -> Option<Bytes> {
        self.next_line = 0;
        let rest = self.partial.split().freeze();
        (!rest.is_empty()).then_some(rest)
    }

    /// Drops the bytes after the last complete event.
    pub fn drop_partial(&mut self) {
        self.next_line = 0;
        self.partial.clear();
    }

    /// Id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }
}

/// A line with its line break.
struct EventLine {
    /// Length with the line break.
    bytes: usize,
    is_empty: bool,
    /// Whether the line break may be the first half of CR LF.
    may_continue: bool,
}

/// The first line of `bytes`; `None` if its line break is missing.
fn next_line(bytes: &[u8]) -> Option<EventLine> {
    let end = bytes
        .iter()
        .position(|byte| matches!(byte, b'\n' | b'\r'))?;
    let next = bytes.get(end + 1);
    let is_pair = bytes[end] == b'\r' && next == Some(&b'\n');
    Some(EventLine {
        bytes: end + if is_pair { 2 } else { 1 },
        is_empty: end == 0,
        may_continue: bytes[end] == b'\r' && next.is_none(),
    })
}

fn last_id_of(events: &[u8]) -> Option<u64> {
    let events = events.strip_prefix(BYTE_ORDER_MARK).unwrap_or(events);
    let lines = events.rsplit(|byte| matches!(byte, b'\n' | b'\r'));
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    id.trim().parse().ok()
}

#[cfg(test)]
#[path = "event_splitter_tests.rs"]
mod tests;
