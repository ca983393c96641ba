//! Reading of HTTP bodies as a whole, as their senders decide how many pieces they have. See
//! docs/design/answer-limits.md.

mod whole_body;

pub(crate) use whole_body::{BodyFailure, collect_body};

/// Result of reading a body.
pub(crate) type Result<T, E = BodyFailure> = std::result::Result<T, E>;
