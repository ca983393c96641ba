use super::RefusalReason;
use crate::prelude::*;

/// Why admission denies a request or a stage its turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{reason}; it is worth to ask again after {} ms", retry_after.as_millis())]
pub struct AdmissionRefusal {
    /// The reason.
    pub reason: RefusalReason,
    /// When it is worth to ask again, by what is known now.
    pub retry_after: Duration,
}
