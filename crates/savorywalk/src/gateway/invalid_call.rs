use super::TableError;
use crate::prelude::*;

/// Why a call to the registry is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvalidCall {
    /// It publishes an invalid configuration document.
    #[error(transparent)]
    Document(#[from] TableError),
    /// It contains an invalid announcement.
    #[error(transparent)]
    Report(#[from] InvalidReport),
}

/// Why an announcement is rejected. The known state of the endpoint that it names stays,
/// since the sender may be another process.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvalidReport {
    /// The announcement can't be parsed; the text says why.
    #[error("the announcement can't be read: {0}; send one JSON object with each field once")]
    Unreadable(String),
    /// A field is missing or has the wrong type.
    #[error("field {field:?} of the announcement is not {expected}; send every documented field")]
    Field {
        /// Name of the field on the wire.
        field: &'static str,
        /// Type or value that the field must have.
        expected: &'static str,
    },
    /// A text is longer than the registry keeps for an endpoint.
    #[error("a text of the announcement has more than {limit} bytes; send a shorter one")]
    TextTooLong {
        /// What a text may have.
        limit: u32,
    },
    /// The state is not one of the documented ones.
    #[error("state {0:?} of the announcement is not known; send a documented one")]
    UnknownState(String),
    /// The endpoint's name is empty, too long or not plain text.
    #[error("the endpoint's name is empty, too long or not plain text; choose another one")]
    Name,
}

impl InvalidReport {
    /// Short name of the fault in logs and counters.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Unreadable(_) => "unreadable",
            Self::Field { field, .. } => field,
            Self::TextTooLong { .. } => "text_too_long",
            Self::UnknownState(_) => "unknown_state",
            Self::Name => "name",
        }
    }
}
