use crate::prelude::*;

/// Why a membership message was rejected.
#[derive(Debug, Error)]
pub enum MembershipError {
    /// The bytes are not a valid membership message.
    #[error(
        "a membership message could not be read: {0}; run the same version on all daemons of a link"
    )]
    Decode(#[from] prost::DecodeError),
    /// The sender's record is missing.
    #[error("a membership message names no sender; run the same version on all daemons of a link")]
    NoSender,
    /// The sender's record has another name than the sender's certificate.
    #[error(
        "a membership message names a sender other than its certificate; give each daemon its own certificate"
    )]
    WrongSender,
}
