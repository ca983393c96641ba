use super::RefusalReason;
use crate::prelude::*;

/// Refusal of a request or of one of its stages by admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{reason}; it is worth to ask again after {} ms", retry_after.as_millis())]
pub struct AdmissionRefusal {
    /// Why it was refused.
    pub reason: RefusalReason,
    /// Time after which a retry may succeed, by the current estimates and queues.
    pub retry_after: Duration,
}
