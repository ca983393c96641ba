use bytes::BytesMut;

use crate::prelude::*;

/// Maximum size of one event, in bytes. A larger one is passed on in parts, and its stream
/// can't be resumed within it.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Maximum number of bytes without an event, in a stream of events that has had one.
const MAX_PASSED_BYTES: usize = 1 << 20;

/// Bytes of a stream that contain no event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{0} bytes without an event")]
pub struct MissingEvent(pub usize);

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
    /// Bytes of that line that hold no line break.
    searched: usize,
    /// Whether a part of the current event has been passed on.
    has_passed_part: bool,
    /// Whether the endpoint has sent an event.
    has_event: bool,
    /// Whether a field of the next event has been read. Comments are no fields.
    has_field: bool,
    /// Bytes since the last event.
    bytes_since_event: usize,
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

    /// Like [`push`](Self::push), for a stream that must contain events.
    ///
    /// # Errors
    ///
    /// The number of bytes without an event, if they are too many: more than 256 KiB before the
    /// first event, or 1 MiB later. They are not passed on.
    pub fn push_events(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, MissingEvent> {
        let end = self.add(bytes);
        let limit = match self.has_event {
            true => MAX_PASSED_BYTES,
            false => MAX_EVENT_BYTES,
        };
        match self.bytes_since_event > limit {
            true => Err(MissingEvent(self.bytes_since_event)),
            false => Ok(self.take_until(end)),
        }
    }

    /// Adds the next bytes and returns the complete events, if there are any.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        let end = self.add(bytes);
        self.take_until(end)
    }

    /// Adds the next bytes, and returns the end of the last complete event among those that have
    /// not been passed on.
    fn add(&mut self, bytes: &[u8]) -> Option<usize> {
        self.partial.extend_from_slice(bytes);
        self.bytes_since_event += bytes.len();
        self.find_last_end()
    }

    /// Takes out the events up to `end`, or a part of an event that is too large.
    fn take_until(&mut self, end: Option<usize>) -> Option<Bytes> {
        let end = match end {
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
        if self.next_line < end {
            self.searched = 0;
        }
        self.next_line = self.next_line.saturating_sub(end);
        if let Some(id) = last_id_of(&events) {
            self.last_id = Some(id);
        }
        Some(events)
    }

    /// End of the last complete event among the bytes that have not been passed on.
    fn find_last_end(&mut self) -> Option<usize> {
        let mut last_end = None;
        while let Some(line) = next_line(&self.partial[self.next_line..], self.searched) {
            let end = self.next_line + line.bytes;
            if line.is_empty {
                last_end = Some(end);
                self.end_event(end);
            } else if line.may_continue {
                break;
            } else {
                self.has_field |= self.partial[self.next_line] != b':';
            }
            self.next_line = end;
            self.searched = 0;
        }
        let rest = &self.partial[self.next_line..];
        // A carriage return at the end may be the first half of a line break.
        self.searched = rest.len() - usize::from(rest.ends_with(b"\r"));
        last_end
    }

    /// Records an event that ends at `end`, if it has any field.
    fn end_event(&mut self, end: usize) {
        if self.has_field {
            self.has_event = true;
            self.has_field = false;
            self.bytes_since_event = self.partial.len() - end;
        }
    }

    /// Whether the bytes so far end within an event, so that a stream that ends here has been
    /// broken off. Comments and `retry` lines may follow the last event.
    pub fn is_within_event(&self) -> bool {
        let mut rest = &self.partial[..];
        while let Some(line) = next_line(rest, 0) {
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
        self.searched = 0;
        let rest = self.partial.split().freeze();
        (!rest.is_empty()).then_some(rest)
    }

    /// Drops the bytes after the last complete event, before another endpoint goes on.
    pub fn drop_partial(&mut self) {
        self.next_line = 0;
        self.searched = 0;
        self.partial.clear();
        self.has_event = false;
        self.has_field = false;
        self.bytes_since_event = 0;
    }

    /// Id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }
}

/// Takes the first line out of whole events, with its line break.
pub(super) fn take_line(events: &mut Bytes) -> Bytes {
    let bytes = next_line(events, 0).map_or(events.len(), |line| line.bytes);
    events.split_to(bytes)
}

/// A line with its line break.
struct EventLine {
    /// Length with the line break.
    bytes: usize,
    is_empty: bool,
    /// Whether the line break may be the first half of CR LF.
    may_continue: bool,
}

/// The first line of `bytes`, whose first `searched` bytes hold no line break; `None` if its line
/// break is missing.
fn next_line(bytes: &[u8], searched: usize) -> Option<EventLine> {
    let is_break = |byte: &u8| matches!(byte, b'\n' | b'\r');
    let end = searched + bytes[searched..].iter().position(is_break)?;
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
