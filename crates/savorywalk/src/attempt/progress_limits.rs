use crate::prelude::*;

/// Times without progress after which an attempt counts as stalled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProgressLimits {
    /// Time to the head of the response and, for a stream, to its first event.
    /// Also the limit for reading a body that is not streamed.
    pub first_event: Duration,
    /// Time between two events of a stream.
    pub event_gap: Duration,
}
