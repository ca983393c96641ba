use super::{RefusalReason, ReplicaId};
use crate::prelude::*;
use crate::storage::StorageError;

/// Reason why a call to a replica failed.
#[derive(Clone, Debug, Error)]
pub enum ReplicaError {
    /// The replica refused the call; no part of it takes effect.
    #[error(transparent)]
    Refused(#[from] RefusalReason),
    /// A new leader replaced the entry by another one; the command takes no effect.
    #[error("a new leader took over before the command was replicated; send it again")]
    Superseded,
    /// The command may or may not take effect.
    #[error("the outcome is not known; send the command again under the same id")]
    OutcomeUnknown,
    /// The command is too large for the log; no part of it takes effect.
    #[error("the command has {bytes} bytes, the log takes {limit}; split it")]
    TooLarge {
        /// Size of the command, in bytes.
        bytes: usize,
        /// Largest size allowed, in bytes.
        limit: usize,
    },
    /// The replica has stopped, for the given reason.
    #[error("the replica has stopped: {0}")]
    Stopped(Arc<str>),
    /// The data folder can't be read or written.
    #[error(transparent)]
    Storage(#[from] Arc<StorageError>),
}

impl ReplicaError {
    /// The leader to call instead, if the replica knows one.
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
