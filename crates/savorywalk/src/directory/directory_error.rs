use crate::prelude::*;

/// Why a directory message was not taken.
#[derive(Debug, Error)]
pub enum DirectoryError {
    /// The bytes are no directory message.
    #[error(
        "a directory message could not be read: {0}; run the same version on all daemons of a link"
    )]
    Decode(#[from] prost::DecodeError),
    /// Its columns differ in length.
    #[error(
        "the renewals of a directory message don't match; run the same version on all daemons of a link"
    )]
    UnequalColumns,
}
