use super::leader_state::LeaderState;
use super::peer_progress::PeerState;
use super::replica_core::{CoreRole, MessageGate, ReplicaCore};
use super::{
    AppendReply, AppendRequest, Body, EntryKind, MembershipChange, RefusalReason, ReplicaAction,
    ReplicaId, ReplicaProposal, Result, TimeoutNow,
};
use crate::prelude::*;

/// Work of a leader: heartbeat rounds, replication, commits and membership
/// changes.
impl ReplicaCore {
    pub(super) fn leader_state(&mut self) -> Option<&mut LeaderState> {
        match &mut self.role {
            CoreRole::Leader(leader) => Some(leader),
            CoreRole::Follower | CoreRole::PreCandidate { .. } | CoreRole::Candidate { .. } => None,
        }
    }

    pub(super) fn tick_leader(&mut self) {
        let now = self.now;
        let timeout = self.options.election_timeout;
        let Some(leader) = self.leader_state() else {
            return;
        };
        let is_check_due = now >= leader.quorum_check_due;
        let is_heartbeat_due = now >= leader.heartbeat_due;
        if is_check_due {
            leader.quorum_check_due = now + timeout;
            if !self.has_quorum_contact() {
                return self.become_follower(self.term, None);
            }
        }
        if is_heartbeat_due {
            self.allow_probes();
            self.broadcast_round();
            self.log_silent_voters();
            self.advance_admission();
        }
    }

    /// Whether a majority answered within the last election timeout.
    fn has_quorum_contact(&self) -> bool {
        let CoreRole::Leader(leader) = &self.role else {
            return false;
        };
        let answering = leader.peers.iter().filter(|(_, peer)| {
            let contact = peer.contact;
            contact.is_some_and(|at| self.now <= at + self.options.election_timeout)
        });
        let mut replicas: BTreeSet<ReplicaId> = answering.map(|(id, _)| *id).collect();
        replicas.insert(self.id);
        let membership = self.log.membership();
        membership.is_some_and(|membership| membership.is_quorum(&replicas))
    }

    fn allow_probes(&mut self) {
        let Some(leader) = self.leader_state() else {
            return;
        };
        for peer in leader.peers.values_mut() {
            if let PeerState::Probe { sent } = &mut peer.state {
                *sent = false;
            }
        }
    }

    pub(super) fn refresh_peers(&mut self) {
        let next_index = self.log.last_index().max(1);
        let now = self.now;
        if let CoreRole::Leader(leader) = &mut self.role
            && let Some(membership) = self.log.membership()
        {
            leader.refresh_peers(self.id, membership, next_index, now);
        }
    }

    fn peer_ids(&self) -> Vec<ReplicaId> {
        match &self.role {
            CoreRole::Leader(leader) => leader.peers.keys().copied().collect(),
            CoreRole::Follower | CoreRole::PreCandidate { .. } | CoreRole::Candidate { .. } => {
                Vec::new()
            }
        }
    }

    /// Starts a round, which sends every peer the entries it lacks or a heartbeat.
    pub(super) fn broadcast_round(&mut self) {
        let now = self.now;
        let interval = self.options.heartbeat_interval;
        let Some(leader) = self.leader_state() else {
            return;
        };
        leader.heartbeat_due = now + interval;
        leader.start_round(now);
        for peer in self.peer_ids() {
            if !self.send_entries(peer) {
                self.send_heartbeat(peer);
            }
        }
        self.refresh_lease();
    }

    /// Sends peers the entries or the commit index they lack, without starting a
    /// round.
    pub(super) fn replicate(&mut self) {
        for peer in self.peer_ids() {
            if !self.send_entries(peer) {
                self.send_commit_index(peer);
            }
        }
    }

    fn send_commit_index(&mut self, to: ReplicaId) {
        let commit = self.commit;
        let Some(leader) = self.leader_state() else {
            return;
        };
        let Some(peer) = leader.peers.get(&to) else {
            return;
        };
        let is_new = peer.told_commit < commit && peer.match_index >= commit;
        if is_new && matches!(peer.state, PeerState::Replicate { .. }) {
            self.send_heartbeat(to);
        }
    }

    /// Sends entries, or starts a snapshot, as far as the peer's window allows.
    /// Returns whether anything was sent.
    fn send_entries(&mut self, to: ReplicaId) -> bool {
        let mut has_sent = false;
        while let Some(next) = self.sendable_index(to) {
            if next <= self.log.base_index() {
                return self.start_snapshot(to);
            }
            let entries = self.log.slice(next, self.options.max_append_bytes);
            if entries.is_empty() {
                return has_sent;
            }
            let last = next + entries.len() as u64 - 1;
            self.record_sent(to, last);
            self.send_append(to, next - 1, entries);
            has_sent = true;
        }
        has_sent
    }

    /// Next index to send to a peer, if its state allows sending now.
    fn sendable_index(&mut self, to: ReplicaId) -> Option<u64> {
        let max_inflight = self.options.max_inflight;
        let peer = self.leader_state()?.peers.get(&to)?;
        let may_send = match &peer.state {
            PeerState::Probe { sent } => !sent,
            PeerState::Replicate { inflight } => inflight.len() < max_inflight,
            PeerState::Snapshot(_) => false,
        };
        may_send.then_some(peer.next_index)
    }

    fn record_sent(&mut self, to: ReplicaId, last: u64) {
        let Some(leader) = self.leader_state() else {
            return;
        };
        let Some(peer) = leader.peers.get_mut(&to) else {
            return;
        };
        match &mut peer.state {
            PeerState::Probe { sent } => *sent = true,
            PeerState::Replicate { inflight } => {
                inflight.push_back(last);
                peer.next_index = last + 1;
            }
            PeerState::Snapshot(_) => {}
        }
    }

    fn send_heartbeat(&mut self, to: ReplicaId) {
        let base = self.log.base_index();
        let Some(leader) = self.leader_state() else {
            return;
        };
        let Some(peer) = leader.peers.get(&to) else {
            return;
        };
        let prev = match &peer.state {
            PeerState::Snapshot(_) => 0,
            PeerState::Probe { .. } | PeerState::Replicate { .. } => peer.next_index - 1,
        };
        let is_compacted = prev < base && !matches!(peer.state, PeerState::Snapshot(_));
        let prev = if prev < base { 0 } else { prev };
        self.send_append(to, prev, Vec::new());
        match is_compacted {
            true => drop(self.start_snapshot(to)),
            false => self.retry_chunk(to),
        }
    }

    fn send_append(&mut self, to: ReplicaId, prev: u64, entries: Vec<super::LogEntry>) {
        let prev_term = match prev {
            0 => Some(0),
            prev => self.log.term_at(prev),
        };
        let (Some(prev_term), commit) = (prev_term, self.commit) else {
            return;
        };
        let Some(leader) = self.leader_state() else {
            return;
        };
        let round = leader.round;
        if let Some(peer) = leader.peers.get_mut(&to) {
            peer.told_commit = commit;
        }
        let request = AppendRequest {
            prev_index: prev,
            prev_term,
            entries,
            commit,
            round,
            silent_members: self.reported_silence(),
        };
        self.send(to, MessageGate::HardState, Body::AppendRequest(request));
    }

    pub(super) fn on_append_reply(&mut self, from: ReplicaId, reply: &AppendReply) {
        let last_index = self.log.last_index();
        if !self.record_peer_reply(from, reply.round) || reply.index > last_index + 1 {
            return;
        }
        let Some(leader) = self.leader_state() else {
            return;
        };
        let Some(peer) = leader.peers.get_mut(&from) else {
            return;
        };
        match reply.accepted {
            true => peer.accept(reply.index.min(last_index)),
            false => peer.refuse(reply.refused, reply.index),
        }
        self.advance_leader_commit();
        self.send_entries(from);
        self.advance_admission();
    }

    /// Records that a peer answered `round`. Returns false if `from` is no peer
    /// or the round was never started.
    pub(super) fn record_peer_reply(&mut self, from: ReplicaId, round: u64) -> bool {
        let now = self.now;
        let Some(leader) = self.leader_state() else {
            return false;
        };
        let newest = leader.round;
        let Some(peer) = leader.peers.get_mut(&from) else {
            return false;
        };
        if round > newest {
            return false;
        }
        peer.contact = Some(now);
        peer.silent_since = now;
        peer.acked_round = peer.acked_round.max(round);
        self.refresh_lease();
        true
    }

    fn refresh_lease(&mut self) {
        if let CoreRole::Leader(leader) = &mut self.role
            && let Some(membership) = self.log.membership()
        {
            leader.refresh_lease(self.id, membership);
        }
        self.answer_reads();
    }

    /// Commits what a majority has synced, if the last of these entries is of
    /// this term.
    pub(super) fn advance_leader_commit(&mut self) {
        let CoreRole::Leader(leader) = &self.role else {
            return;
        };
        let own_index = self.ledger.persisted_index();
        let synced = |id| match leader.peers.get(&id) {
            Some(peer) => peer.match_index,
            None if id == self.id => own_index,
            None => 0,
        };
        let membership = self.log.membership();
        let index = membership.and_then(|membership| membership.quorum_value(synced));
        let Some(index) = index.filter(|index| *index > self.commit) else {
            return;
        };
        if self.log.term_at(index) != Some(self.term) {
            return;
        }
        self.commit_to(index);
        self.answer_reads();
        self.replicate();
        self.advance_admission();
    }

    /// Whether an entry of this leader's own term is committed.
    pub(super) fn is_established(&self) -> bool {
        match &self.role {
            CoreRole::Leader(leader) => self.commit >= leader.first_index,
            CoreRole::Follower | CoreRole::PreCandidate { .. } | CoreRole::Candidate { .. } => {
                false
            }
        }
    }

    pub(super) fn on_propose(&mut self, proposals: Vec<ReplicaProposal>) {
        let is_leader = self.leader_state().is_some();
        for proposal in proposals {
            if !is_leader {
                let reason = self.not_leader();
                self.refuse_proposal(proposal.id, reason);
                continue;
            }
            let waiting = self.log.last_index() - self.commit;
            if waiting >= self.options.max_uncommitted {
                self.refuse_proposal(proposal.id, RefusalReason::Busy);
                continue;
            }
            let index = self.append_own(EntryKind::Command, proposal.payload);
            self.emit_appended(proposal.id, index);
        }
        self.replicate();
    }

    fn emit_appended(&mut self, id: u64, index: u64) {
        let term = self.term;
        let appended = ReplicaAction::ProposalAppended { id, index, term };
        self.actions.push(appended);
    }

    pub(super) fn on_change(&mut self, id: u64, change: MembershipChange) {
        match self.try_change(change) {
            Ok(index) => self.emit_appended(id, index),
            Err(reason) => self.refuse_proposal(id, reason),
        }
    }

    /// Appends a single-server change of the membership, if the previous
    /// membership is committed.
    pub(super) fn try_change(&mut self, change: MembershipChange) -> Result<u64, RefusalReason> {
        if self.leader_state().is_none() {
            return Err(self.not_leader());
        }
        let is_last_committed = self.log.membership_index() <= self.commit;
        if !self.is_established() || !is_last_committed {
            return Err(RefusalReason::ChangeInProgress);
        }
        if !self.is_allowed(change) {
            return Err(RefusalReason::ChangeNotAllowed);
        }
        let index = self.log.last_index() + 1;
        let membership = self.log.membership();
        let next = membership.and_then(|membership| membership.changed(change, index));
        let next = next.ok_or(RefusalReason::ChangeNotAllowed)?;
        self.append_own(EntryKind::Membership, next.to_payload());
        self.refresh_peers();
        self.replicate();
        Ok(index)
    }

    fn is_allowed(&self, change: MembershipChange) -> bool {
        match change {
            MembershipChange::AddLearner(id) => id.incarnation() != 0,
            MembershipChange::Promote(id) => self.is_caught_up(id),
            MembershipChange::Remove(id) => id != self.id,
        }
    }

    /// Whether a peer has all committed entries and has answered within the last
    /// election timeout.
    pub(super) fn is_caught_up(&self, id: ReplicaId) -> bool {
        let CoreRole::Leader(leader) = &self.role else {
            return false;
        };
        let peer = leader.peers.get(&id);
        peer.is_some_and(|peer| {
            let contact = peer.contact;
            let answers = contact.is_some_and(|at| self.now <= at + self.options.election_timeout);
            answers && peer.match_index >= self.commit
        })
    }

    pub(super) fn on_transfer(&mut self, to: Option<ReplicaId>) {
        let last_index = self.log.last_index();
        let voters: Vec<ReplicaId> = match self.log.membership() {
            Some(membership) => membership.voters().collect(),
            None => Vec::new(),
        };
        let Some(leader) = self.leader_state() else {
            return;
        };
        let ready = leader.peers.iter().find(|(id, peer)| {
            let is_requested = to.is_none_or(|to| to == **id);
            is_requested && voters.contains(id) && peer.match_index == last_index
        });
        let Some(target) = ready.map(|(id, _)| *id) else {
            return;
        };
        leader.lease_forfeited = true;
        let body = Body::TimeoutNow(TimeoutNow {});
        self.send(target, MessageGate::HardState, body);
    }
}
