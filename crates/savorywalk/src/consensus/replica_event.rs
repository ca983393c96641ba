use super::{MembershipChange, ReplicaId, ReplicaMessage};
use crate::prelude::*;

/// A command that is proposed for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaProposal {
    /// Number under which the outcome is reported.
    pub id: u64,
    /// The command, which only the state machine interprets.
    pub payload: Bytes,
}

/// An event that a replica processes.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaEvent {
    /// Time has passed; timers that are due run.
    Tick,
    /// A message from another replica has arrived.
    Message(Box<ReplicaMessage>),
    /// All batches up to this number are synced.
    Persisted {
        /// Number of the newest batch that is synced.
        sequence: u64,
    },
    /// Commands proposed for the log; a leader appends them in one batch.
    Propose(Vec<ReplicaProposal>),
    /// Numbers of reads, each confirmed once all that was committed before is applied here.
    Read(Vec<u64>),
    /// Requests a change of the membership.
    ChangeMembership {
        /// Number under which the outcome is reported.
        id: u64,
        /// The change requested.
        change: MembershipChange,
    },
    /// A snapshot of the state machine was taken, with all entries up to `index` applied.
    SnapshotTaken {
        /// Last index that the state covers.
        index: u64,
        /// The encoded state.
        state: Bytes,
    },
    /// Requests that the leader transfer leadership to another voter.
    TransferLeadership {
        /// The voter, or `None` for any; it must have all of the leader's entries.
        to: Option<ReplicaId>,
    },
}
