use crate::prelude::*;

/// Why a membership message was not taken.
#[derive(Debug, Error)]
pub enum MembershipError {
    /// The bytes are no membership message.
    #[error(
        "a membership message could not be read: {0}; run the same version on all daemons of a link"
    )]
    Decode(#[from] prost::DecodeError),
    /// The sender's record is missing or incomplete.
    #[error("a membership message names no sender; run the same version on all daemons of a link")]
    NoSender,
    /// The sender's record names somebody else.
    #[error(
        "a membership message names a sender other than its certificate; give each daemon its own certificate"
    )]
    WrongSender,
}
