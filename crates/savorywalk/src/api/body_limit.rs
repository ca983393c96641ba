use crate::prelude::*;

/// Time for a body where a listener names none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// How large a request's body may be and how long it may take to arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BodyLimit {
    /// Largest size, in bytes.
    pub bytes: u32,
    /// Longest time from the head to the body's end.
    pub timeout: Duration,
}

impl From<u32> for BodyLimit {
    fn from(bytes: u32) -> Self {
        Self {
            bytes,
            timeout: DEFAULT_TIMEOUT,
        }
    }
}
