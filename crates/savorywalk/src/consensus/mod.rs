//! Consensus is the project's own replicated log: elections, replication, snapshots,
//! membership changes, as a state machine without I/O. See docs/design/consensus.md.

mod core_admission;
mod core_election;
mod core_follower;
mod core_leader;
mod core_reads;
mod core_snapshot;
mod election_jitter;
mod leader_state;
mod message_check;
mod peer_progress;
mod persist_batch;
mod persist_ledger;
mod replica_action;
mod replica_core;
mod replica_event;
mod replica_id;
mod replica_log;
mod replica_membership;
mod replica_options;
mod snapshot_receiver;

#[cfg(test)]
mod simulation;

pub use crate::generated::consensus::{
    AppendReply, AppendRequest, EntryKind, FormationOffer, FrameRecord, HardState, IdentityRecord,
    JoinRequest, LogEntry, LogFrame, MemberRecord, MembershipRecord, ReplicaMessage, SnapshotChunk,
    SnapshotMark, SnapshotRecord, SnapshotReply, TimeoutNow, VoteReply, VoteRequest,
    replica_message::Body,
};
pub use message_check::MessageError;
pub use persist_batch::{PersistBatch, RecoveredState};
pub use replica_action::{RefusalReason, ReplicaAction};
pub use replica_core::{ReplicaCore, ReplicaRole};
pub use replica_event::{ReplicaEvent, ReplicaProposal};
pub use replica_id::{NodeNumber, ReplicaId};
pub use replica_membership::{MembershipChange, ReplicaMember, ReplicaMembership};
pub use replica_options::ReplicaOptions;
#[cfg(test)]
pub(crate) use replica_options::SeededMistake;

/// Result of this module's fallible calls.
pub type Result<T> = std::result::Result<T, MessageError>;
