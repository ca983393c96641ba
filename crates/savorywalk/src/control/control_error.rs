use prost::DecodeError;

use crate::configuration::ConfigurationReport;
use crate::prelude::*;

/// Why control could not do what it was asked.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ControlError {
    /// A snapshot can't be read.
    #[error("the snapshot can't be read: {0}; restore the replica from another one")]
    BadSnapshot(#[from] DecodeError),
    /// A snapshot was written in another form.
    #[error("the snapshot has form {found}, this program reads {known}; start a newer program")]
    UnknownFormat {
        /// Form of the snapshot.
        found: u32,
        /// Form that this program reads.
        known: u32,
    },
    /// Control gave an answer to another question.
    #[error("control answered something else: {0}; start the same version of every daemon")]
    UnexpectedAnswer(String),
    /// Control has no quorum, or can't be reached, for now.
    #[error("control can't decide now: {0}; ask again in a second")]
    Unavailable(String),
    /// The data folder, or the replica in it, can't be used.
    #[error("the data folder can't be used: {0}")]
    Folder(String),
    /// The first configuration is wrong.
    #[error(transparent)]
    Configuration(#[from] ConfigurationReport),
}
