use crate::prelude::*;

/// Limits of the retries of all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Length of the sliding window.
    pub window: Duration,
    /// Retries allowed for each request in the window.
    pub share: f64,
    /// Additional retries allowed in the window, over all entries.
    pub extra: f64,
}
