use super::core_admission::ChangeGround;
use super::replica_core::{CoreRole, ReplicaCore};
use super::{MemberSilence, MembershipChange, NodeDiscovery, ReplicaId};
use crate::prelude::*;

/// Time, in election timeouts, that a new leader sends heartbeats of its own before it acts on
/// what an earlier leader knew of silent voters.
const CONFIRMATION_TIMEOUTS: u32 = 2;

/// Evidence that a voter is lost; see docs/design/voter-replacement.md.
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
        let is_silent = |id: &ReplicaId| self.silence(*id).is_some_and(|time| time >= silence);
        membership.voters().filter(is_silent).collect()
    }

    /// Time since a member last answered this leader or, by the report of an earlier leader, that
    /// one.
    pub(super) fn silence(&self, member: ReplicaId) -> Option<Duration> {
        let CoreRole::Leader(leader) = &self.role else {
            return None;
        };
        let peer = leader.peers.get(&member)?;
        Some(self.now.saturating_duration_since(peer.silent_since))
    }

    /// Returns a voter that has been silent for `silence` and has left this leader's own
    /// heartbeats unanswered for [`CONFIRMATION_TIMEOUTS`].
    pub(super) fn lost_voter(&self, silence: Duration) -> Option<ReplicaId> {
        let CoreRole::Leader(leader) = &self.role else {
            return None;
        };
        let confirmation = self.options.election_timeout * CONFIRMATION_TIMEOUTS;
        let is_confirmed = self.now >= leader.elected_at + confirmation;
        let lost = || self.voters_silent_for(silence).into_iter().next();
        is_confirmed.then(lost).flatten()
    }

    /// Time without an answer after which a voter counts as lost, where voters are discovered.
    pub(super) fn lost_after(&self) -> Option<Duration> {
        match self.options.discovery {
            NodeDiscovery::Seeds { replace_after, .. } => Some(replace_after),
            NodeDiscovery::Listed => None,
        }
    }

    /// Whether every voter has answered a round that began after `newcomer` became a peer. A
    /// voter that was lost before that has not, however short its silence is.
    pub(super) fn have_all_answered_since(&self, newcomer: ReplicaId) -> bool {
        let (CoreRole::Leader(leader), Some(membership)) = (&self.role, self.log.membership())
        else {
            return false;
        };
        let Some(peer) = leader.peers.get(&newcomer) else {
            return false;
        };
        let first_round = peer.first_round;
        let mut voters = membership.voters().filter(|id| *id != self.id);
        voters.all(|id| {
            leader
                .peers
                .get(&id)
                .is_some_and(|voter| voter.acked_round > first_round)
        })
    }

    /// The silent members, as heartbeats name them.
    pub(super) fn reported_silence(&self) -> Vec<MemberSilence> {
        let CoreRole::Leader(leader) = &self.role else {
            return Vec::new();
        };
        let timeout = self.options.election_timeout;
        let silences = leader
            .peers
            .keys()
            .filter_map(|id| Some((*id, self.silence(*id)?)));
        let silent = silences.filter(|(_, silence)| *silence >= timeout);
        let reports = silent.map(|(id, silence)| MemberSilence {
            replica: id.as_u64(),
            silent_ms: silence.as_millis() as u64,
        });
        reports.collect()
    }

    /// Records what a leader last knew of silent members.
    pub(super) fn record_silence(&mut self, silent: &[MemberSilence]) {
        let silent = silent.iter().map(|silence| {
            let member = ReplicaId::from_u64(silence.replica);
            (member, Duration::from_millis(silence.silent_ms))
        });
        self.known_silence = silent.collect();
    }

    /// Begins with the silence that the last leader knew. That leader itself was silent for an
    /// election timeout, as the majority that elected this one granted no vote before.
    pub(super) fn inherit_silence(&mut self) {
        let (now, timeout) = (self.now, self.options.election_timeout);
        let mut known = std::mem::take(&mut self.known_silence);
        if let Some(last) = self.last_leader.take() {
            known.insert(last, timeout);
        }
        let Some(leader) = self.leader_state() else {
            return;
        };
        for (member, silence) in known {
            if let Some(peer) = leader.peers.get_mut(&member) {
                peer.silent_since = now.checked_sub(silence).unwrap_or(now);
            }
        }
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
            log_event!(info, "voter_answers", voter = voter, voters = voters);
        }
    }

    /// Logs a change of the membership with its ground, the silence of the member, and what it
    /// leaves: the voters, how many of them are silent, and the votes that a majority takes.
    pub(super) fn log_membership_change(
        &self,
        index: u64,
        change: MembershipChange,
        ground: ChangeGround,
        silence: Duration,
    ) {
        let quorum = self.log.membership().map_or(0, |next| next.quorum());
        log_event!(
            info,
            "membership_change",
            index = index,
            change = format!("{change:?}"),
            ground = format!("{ground:?}"),
            silent_ms = silence.as_millis(),
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
