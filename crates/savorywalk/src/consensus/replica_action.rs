use super::{LogEntry, PersistBatch, ReplicaId, ReplicaMessage, SnapshotRecord};
use crate::prelude::*;

/// What the outside does for a replica, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaAction {
    /// Write and sync, then tell `Persisted`; batches keep their order.
    Persist(PersistBatch),
    /// Send; a message may be lost, doubled, delayed or reordered.
    Send(Box<ReplicaMessage>),
    /// Apply committed entries to the machine.
    Apply(Vec<LogEntry>),
    /// Replace the machine's state.
    Restore(SnapshotRecord),
    /// A proposal has its place; it holds if this term's entry is applied there.
    ProposalAppended {
        /// Number of the proposal.
        id: u64,
        /// Place in the log.
        index: u64,
        /// Term of the entry.
        term: u64,
    },
    /// A proposal was not taken; no part of it can take effect.
    ProposalRefused {
        /// Number of the proposal.
        id: u64,
        /// Why.
        reason: RefusalReason,
    },
    /// A read may be served from the machine as it is now.
    ReadReady {
        /// Number of the read.
        id: u64,
        /// Commit index at that point.
        index: u64,
    },
    /// A read can't be served here.
    ReadRefused {
        /// Number of the read.
        id: u64,
        /// Why.
        reason: RefusalReason,
    },
}

/// Why a replica refuses a proposal or a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RefusalReason {
    /// Another replica leads, or none.
    #[error("this replica does not lead; ask {}", leader_text(*.leader))]
    NotLeader {
        /// The leader, when known.
        leader: Option<ReplicaId>,
    },
    /// Too much is waiting to be committed.
    #[error("too many entries wait for a majority; try again later")]
    Busy,
    /// Another membership change is not committed yet.
    #[error("another membership change is in progress; try again once it is committed")]
    ChangeInProgress,
    /// The change would change nothing, or make a learner that lags a voter.
    #[error(
        "the membership change is not allowed now; read the membership and the learner's progress"
    )]
    ChangeNotAllowed,
}

fn leader_text(leader: Option<ReplicaId>) -> String {
    match leader {
        Some(leader) => leader.to_string(),
        None => "again after an election".to_string(),
    }
}
