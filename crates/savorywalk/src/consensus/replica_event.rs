use super::{MembershipChange, ReplicaId, ReplicaMessage};
use crate::prelude::*;

/// A proposal on its way into the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaProposal {
    /// Number by which the outcome is told.
    pub id: u64,
    /// The command, opaque here.
    pub payload: Bytes,
}

/// What a replica reacts to.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaEvent {
    /// Time has passed.
    Tick,
    /// A message arrived.
    Message(Box<ReplicaMessage>),
    /// All batches up to this number are synced.
    Persisted {
        /// Number of the newest batch that is synced.
        sequence: u64,
    },
    /// Commands for the log; a leader appends them in one batch.
    Propose(Vec<ReplicaProposal>),
    /// Asks to be told when all that was committed before is applied here.
    Read(Vec<u64>),
    /// Asks for a change of the membership.
    ChangeMembership {
        /// Number by which the outcome is told.
        id: u64,
        /// The change.
        change: MembershipChange,
    },
    /// The machine's state up to `index`, all of it applied.
    SnapshotTaken {
        /// Last index that the state covers.
        index: u64,
        /// The state.
        state: Bytes,
    },
    /// Asks the leader to hand over to another voter.
    TransferLeadership {
        /// The voter; `None` takes the one that is furthest on.
        to: Option<ReplicaId>,
    },
}
