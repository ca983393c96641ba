use super::{ReplicaCore, ReplicaId, ReplicaMembership, ReplicaRole};
use crate::prelude::*;

/// What a replica knows of itself and of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// Identity of the replica.
    pub id: ReplicaId,
    /// What it is at the moment.
    pub role: ReplicaRole,
    /// The leader that it follows, itself included.
    pub leader: Option<ReplicaId>,
    /// Newest term that it has seen.
    pub term: u64,
    /// Last index known to be committed.
    pub commit_index: u64,
    /// Last index applied.
    pub applied_index: u64,
    /// Last index of its log.
    pub last_index: u64,
    /// Index that its newest snapshot covers; 0 without one.
    pub snapshot_index: u64,
    /// Members that it knows of; none before it belongs to a cluster.
    pub membership: ReplicaMembership,
    /// Messages dropped because a check failed.
    pub dropped_messages: u64,
    /// Why it has stopped, if it has.
    pub stopped: Option<Arc<str>>,
}

impl ReplicaStatus {
    pub(super) fn of(core: &ReplicaCore) -> Self {
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
            dropped_messages: core.dropped_messages(),
            stopped: None,
        }
    }

    /// Whether this replica votes.
    pub fn is_voter(&self) -> bool {
        self.membership.is_voter(self.id)
    }
}
