use crate::prelude::*;

/// How long an attempt may be without progress before it counts as stalled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProgressLimits {
    /// Until the first byte of its answer, or the first event of its stream.
    pub first: Duration,
    /// Between two events of its stream.
    pub between: Duration,
}
