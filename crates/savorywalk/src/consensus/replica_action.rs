use super::{LogEntry, PersistBatch, ReplicaId, ReplicaMessage, SnapshotRecord};
use crate::prelude::*;

/// An action that the caller performs for a replica, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaAction {
    /// Write and sync the batch, then report `Persisted`; batches keep their order.
    Persist(PersistBatch),
    /// Send the message; it may be lost, duplicated, delayed or reordered.
    Send(Box<ReplicaMessage>),
    /// Apply committed entries to the state machine.
    Apply(Vec<LogEntry>),
    /// Replace the state machine's state by that of the snapshot.
    Restore(SnapshotRecord),
    /// A proposal was appended; it takes effect if the entry applied at `index` has this `term`.
    ProposalAppended {
        /// Number of the proposal.
        id: u64,
        /// Index of its entry in the log.
        index: u64,
        /// Term of its entry.
        term: u64,
    },
    /// A proposal was refused; no part of it can take effect.
    ProposalRefused {
        /// Number of the proposal.
        id: u64,
        /// Reason for the refusal.
        reason: RefusalReason,
    },
    /// A read may be served from the current state of the state machine.
    ReadReady {
        /// Number of the read.
        id: u64,
        /// Commit index at that point.
        index: u64,
    },
    /// A read can't be served by this replica.
    ReadRefused {
        /// Number of the read.
        id: u64,
        /// Reason for the refusal.
        reason: RefusalReason,
    },
}

/// Why a replica refuses a proposal or a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RefusalReason {
    /// This replica is not the leader.
    #[error("this replica does not lead; ask {}", leader_text(*.leader))]
    NotLeader {
        /// The leader, when known.
        leader: Option<ReplicaId>,
    },
    /// Too many entries are not committed yet.
    #[error("too many entries wait for a majority; try again later")]
    Busy,
    /// Another membership change is not committed yet.
    #[error("another membership change is in progress; try again once it is committed")]
    ChangeInProgress,
    /// The change would have no effect, or would promote a learner that has not caught up.
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
