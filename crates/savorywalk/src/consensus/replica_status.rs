use super::{ReplicaCore, ReplicaId, ReplicaMembership, ReplicaRole};
use crate::prelude::*;

/// Status of a replica and its log, as published by its driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// Node and incarnation of the replica.
    pub id: ReplicaId,
    /// Current role; a pre-vote counts as candidacy.
    pub role: ReplicaRole,
    /// The leader as far as the replica knows; may be the replica itself.
    pub leader: Option<ReplicaId>,
    /// Current term, the newest that the replica has seen.
    pub term: u64,
    /// Last index known to be committed.
    pub commit_index: u64,
    /// Last index applied to the state machine.
    pub applied_index: u64,
    /// Index of the last entry in the log, committed or not.
    pub last_index: u64,
    /// Last index that the newest snapshot covers; 0 without a snapshot.
    pub snapshot_index: u64,
    /// The newest membership in the log; empty before the replica belongs to a cluster.
    pub membership: ReplicaMembership,
    /// Voters that have not answered this replica for an election timeout, while it leads.
    pub silent_voters: usize,
    /// Number of messages dropped because a check failed.
    pub dropped_messages: u64,
    /// Reason why the replica has stopped, if it has.
    pub stopped: Option<Arc<str>>,
}

impl ReplicaStatus {
    pub(super) fn from_core(core: &ReplicaCore) -> Self {
        Self {
            id: core.id(),
            role: core.role(),
            leader: core.leader(),
            term: core.term(),
            commit_index: core.commit_index(),
            applied_index: core.applied_index(),
            last_index: core.last_index(),
            snapshot_index: core.snapshot_index(),
            membership: core.membership().cloned().unwrap_or_default(),
            silent_voters: core.silent_voters(),
            dropped_messages: core.dropped_messages(),
            stopped: None,
        }
    }

    /// Whether the membership lists this replica as a voter.
    pub fn is_voter(&self) -> bool {
        self.membership.is_voter(self.id)
    }
}
