use crate::http_bodies::{BodyHold, BodyMemory};
use crate::prelude::*;

/// How large a request's body may be and how long it may take to arrive.
#[derive(Clone, Debug)]
pub(crate) struct BodyLimit {
    /// Largest size, in bytes.
    pub bytes: u32,
    /// Longest time from the head to the body's end.
    pub timeout: Duration,
    /// Memory of all bodies of the daemon.
    pub memory: Arc<BodyMemory>,
}

impl BodyLimit {
    /// Begins to hold a body.
    pub(crate) fn hold(&self) -> BodyHold {
        self.memory.hold()
    }
}
