use prost::DecodeError;

use crate::configuration::ConfigurationReport;
use crate::prelude::*;

/// Why a call to control, the start of a voter or the restore of a snapshot failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ControlError {
    /// A snapshot can't be decoded.
    #[error("the snapshot can't be read: {0}; restore the replica from another one")]
    BadSnapshot(#[from] DecodeError),
    /// A snapshot has a format that this program doesn't read.
    #[error("the snapshot has form {found}, this program reads {known}; start a newer program")]
    UnknownFormat {
        /// Format of the snapshot.
        found: u32,
        /// Format that this program reads.
        known: u32,
    },
    /// The answer's kind doesn't fit the call.
    #[error("control answered something else: {0}; start the same version of every daemon")]
    UnexpectedAnswer(String),
    /// Control has no quorum or can't be reached at present.
    #[error("control can't decide now: {0}; ask again in a second")]
    Unavailable(String),
    /// The data folder, or the replica in it, can't be used.
    #[error("the data folder can't be used: {0}")]
    Folder(String),
    /// A configuration is invalid.
    #[error(transparent)]
    Configuration(#[from] ConfigurationReport),
}
