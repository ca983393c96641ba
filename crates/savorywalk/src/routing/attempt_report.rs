use crate::prelude::*;

/// Outcome of an attempt, as an observation of its endpoint's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptReport {
    /// The endpoint returned a complete answer after this time.
    Succeeded(Duration),
    /// The endpoint failed, refused, truncated its answer or stopped responding.
    Failed,
}
