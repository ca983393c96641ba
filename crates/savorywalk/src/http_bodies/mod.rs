//! Reading of HTTP bodies at a cost that does not grow with their pieces, whose number their senders
//! decide. See docs/design/answer-limits.md.

mod body_buffer;
mod body_memory;
mod event_lines;
mod event_splitter;
mod json_size;
mod whole_body;

pub(crate) use body_memory::{BodyHold, BodyMemory, MemoryFull};
pub(crate) use event_lines::{EventFailure, EventLines};
pub use event_splitter::EventSplitter;
pub(crate) use event_splitter::MissingEvent;
pub(crate) use json_size::parsed_size;
pub(crate) use whole_body::{BodyFailure, STALL_TIME, collect_body};

/// Result of reading a body.
pub(crate) type Result<T, E = BodyFailure> = std::result::Result<T, E>;
