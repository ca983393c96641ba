use super::{RefusalReason, ReplicaId};
use crate::prelude::*;
use crate::storage::StorageError;

/// Why a call to a replica failed.
#[derive(Clone, Debug, Error)]
pub enum ReplicaError {
    /// The replica refused the call; no part of it takes effect.
    #[error(transparent)]
    Refused(#[from] RefusalReason),
    /// A new leader put another entry in its place; it takes no effect.
    #[error("a new leader took over before the command was replicated; send it again")]
    Superseded,
    /// It may or may not take effect.
    #[error("the outcome is not known; send the command again under the same id")]
    OutcomeUnknown,
    /// The command is too large for the log; no part of it takes effect.
    #[error("the command has {bytes} bytes, the log takes {limit}; split it")]
    TooLarge {
        /// Size of the command.
        bytes: usize,
        /// Largest size.
        limit: usize,
    },
    /// The replica has stopped.
    #[error("the replica has stopped: {0}")]
    Stopped(Arc<str>),
    /// The data folder can't be used.
    #[error(transparent)]
    Storage(#[from] Arc<StorageError>),
}

impl ReplicaError {
    /// The leader to ask instead, when the replica knows one.
    pub fn leader(&self) -> Option<ReplicaId> {
        match self {
            Self::Refused(RefusalReason::NotLeader { leader }) => *leader,
            Self::Refused(
                RefusalReason::Busy
                | RefusalReason::ChangeInProgress
                | RefusalReason::ChangeNotAllowed,
            )
            | Self::Superseded
            | Self::OutcomeUnknown
            | Self::TooLarge { .. }
            | Self::Stopped(_)
            | Self::Storage(_) => None,
        }
    }
}
