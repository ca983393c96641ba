//! Consensus is the project's own replicated log, with elections, replication, snapshots
//! and membership changes. Its core is a state machine without I/O, which a driver runs.
//! See docs/design/consensus.md.

mod core_admission;
mod core_election;
mod core_follower;
mod core_leader;
mod core_reads;
mod core_snapshot;
mod core_voters;
mod disk_writer;
mod driver_options;
mod election_jitter;
mod leader_state;
mod message_check;
mod peer_link;
mod peer_progress;
mod pending_calls;
mod persist_batch;
mod persist_ledger;
mod replica_action;
mod replica_core;
mod replica_driver;
mod replica_error;
mod replica_event;
mod replica_handle;
mod replica_id;
mod replica_log;
mod replica_membership;
mod replica_options;
mod replica_status;
mod replicated_machine;
mod snapshot_receiver;

#[cfg(test)]
mod discovery_tests;
#[cfg(test)]
mod replacement_tests;
#[cfg(test)]
mod seed_network;
#[cfg(test)]
mod simulation;

pub use crate::generated::consensus::{
    AppendReply, AppendRequest, EntryKind, FormationOffer, FrameRecord, HardState, IdentityRecord,
    JoinHint, JoinRequest, LogEntry, LogFrame, MemberRecord, MemberSilence, MembershipRecord,
    ReplicaMessage, SnapshotChunk, SnapshotMark, SnapshotRecord, SnapshotReply, TimeoutNow,
    VoteReply, VoteRequest, replica_message::Body,
};
pub use driver_options::DriverOptions;
pub use message_check::MessageError;
pub use peer_link::{PeerLink, PeerMessage};
pub use persist_batch::{PersistBatch, RecoveredState};
pub use replica_action::{RefusalReason, ReplicaAction};
pub use replica_core::{ReplicaCore, ReplicaRole};
pub use replica_driver::ReplicaDriver;
pub use replica_error::ReplicaError;
pub use replica_event::{ReplicaEvent, ReplicaProposal};
pub use replica_handle::ReplicaHandle;
pub use replica_id::{NodeNumber, ReplicaId};
pub use replica_membership::{MembershipChange, ReplicaMember, ReplicaMembership};
#[cfg(test)]
pub(crate) use replica_options::SeededMistake;
pub use replica_options::{NodeDiscovery, ReplicaOptions};
pub use replica_status::ReplicaStatus;
pub use replicated_machine::ReplicatedMachine;

/// Result of a call to a replica; the error is [`ReplicaError`] by default.
pub type Result<T, E = ReplicaError> = std::result::Result<T, E>;
