use crate::prelude::*;

/// What an attempt showed of its endpoint's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptReport {
    /// It gave a whole answer after this time.
    Succeeded(Duration),
    /// It failed, refused, cut its answer or went silent.
    Failed,
}
