use super::replica_core::{CoreRole, ReplicaCore};
use super::{MembershipChange, ReplicaId};
use crate::prelude::*;

/// Which voters still answer this leader.
impl ReplicaCore {
    /// Number of voters that have not answered this leader for an election timeout; 0 at
    /// other replicas.
    pub fn silent_voters(&self) -> usize {
        let timeout = self.options.election_timeout;
        self.voters_silent_for(timeout).len()
    }

    /// Voters that have not answered this leader for `silence`.
    pub(super) fn voters_silent_for(&self, silence: Duration) -> Vec<ReplicaId> {
        let Some(membership) = self.log.membership() else {
            return Vec::new();
        };
        let is_silent =
            |id: &ReplicaId| self.voter_silence(*id).is_some_and(|time| time >= silence);
        membership.voters().filter(is_silent).collect()
    }

    /// Time since a voter last answered this leader, or since the election.
    fn voter_silence(&self, voter: ReplicaId) -> Option<Duration> {
        let CoreRole::Leader(leader) = &self.role else {
            return None;
        };
        let peer = leader.peers.get(&voter)?;
        let heard = peer.contact.unwrap_or(leader.elected_at);
        Some(self.now.saturating_duration_since(heard))
    }

    /// Logs which voters have fallen silent, or answer again, since the last call.
    pub(super) fn log_silent_voters(&mut self) {
        let timeout = self.options.election_timeout;
        let silent: BTreeSet<ReplicaId> = self.voters_silent_for(timeout).into_iter().collect();
        let voters = self.voter_count();
        let Some(leader) = self.leader_state() else {
            return;
        };
        let logged = std::mem::replace(&mut leader.silent_voters, silent.clone());
        for voter in silent.difference(&logged) {
            log_event!(info, "voter_silent", voter = voter, voters = voters);
        }
        for voter in logged.difference(&silent) {
            log_event!(info, "voter_heard", voter = voter, voters = voters);
        }
    }

    /// Logs a change of the membership with what it leaves: the voters, how many of them
    /// are silent, and the votes that a majority takes.
    pub(super) fn log_membership_change(&self, index: u64, change: MembershipChange) {
        let quorum = self.log.membership().map_or(0, |next| next.quorum());
        log_event!(
            info,
            "membership_change",
            index = index,
            change = format!("{change:?}"),
            voters = self.voter_count(),
            silent = self.silent_voters(),
            quorum = quorum
        );
    }

    pub(super) fn voter_count(&self) -> usize {
        let membership = self.log.membership();
        membership.map_or(0, |membership| membership.voters().count())
    }
}
