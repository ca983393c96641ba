use super::leader_state::LeaderState;
use super::replica_core::{CoreRole, MessageGate, ReplicaCore};
use super::{Body, EntryKind, ReplicaAction, ReplicaId, VoteReply, VoteRequest};
use crate::prelude::*;

/// Elections: pre-votes, votes, and the changes of role that follow from them.
impl ReplicaCore {
    pub(super) fn tick_election(&mut self) {
        if self.now < self.election_due {
            return;
        }
        self.reset_election();
        if self.is_voter() {
            match self.options.asks_first() {
                true => self.start_pre_vote(),
                false => self.start_election(false),
            }
        }
    }

    /// Starts a pre-vote: asks the voters whether they would vote for this
    /// replica, without an effect on the current leader.
    fn start_pre_vote(&mut self) {
        self.log_failed_pre_vote();
        self.leader = None;
        let granted = BTreeSet::from([self.id]);
        self.role = CoreRole::PreCandidate { granted };
        self.request_votes(true, false);
        self.count_pre_votes();
    }

    /// Logs how many voters granted the last pre-vote, if it did not lead to an election.
    fn log_failed_pre_vote(&self) {
        if let CoreRole::PreCandidate { granted } = &self.role {
            let quorum = self.log.membership().map_or(0, |members| members.quorum());
            log_event!(
                info,
                "pre_vote_failed",
                term = self.term,
                granted = granted.len(),
                voters = self.voter_count(),
                quorum = quorum
            );
        }
    }

    pub(super) fn start_election(&mut self, transfer: bool) {
        self.term += 1;
        self.vote = Some(self.id);
        self.staged.hard_state = true;
        self.leader = None;
        let granted = BTreeSet::new();
        self.role = CoreRole::Candidate { granted };
        self.reset_election();
        self.request_votes(false, transfer);
    }

    fn request_votes(&mut self, pre_vote: bool, transfer: bool) {
        let request = VoteRequest {
            pre_vote,
            transfer,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        let (gate, term) = match pre_vote {
            true => (MessageGate::Nothing, self.term + 1),
            false => (MessageGate::HardState, self.term),
        };
        for voter in self.other_voters() {
            self.send_in_term(voter, gate, term, Body::VoteRequest(request));
        }
    }

    fn other_voters(&self) -> Vec<ReplicaId> {
        let Some(membership) = self.log.membership() else {
            return Vec::new();
        };
        membership.voters().filter(|id| *id != self.id).collect()
    }

    pub(super) fn on_vote_request(&mut self, from: ReplicaId, term: u64, request: &VoteRequest) {
        let own = (self.log.last_term(), self.log.last_index());
        let is_current = (request.last_term, request.last_index) >= own;
        if request.pre_vote {
            let granted = is_current && term > self.term && !self.has_promise();
            return self.answer_pre_vote(from, term, granted);
        }
        let is_undecided = self.vote.is_none() && self.leader.is_none();
        let granted = is_current && (is_undecided || self.vote == Some(from));
        if granted {
            self.staged.hard_state |= self.vote.is_none();
            self.vote = Some(from);
            self.reset_election();
        }
        let reply = VoteReply {
            pre_vote: false,
            granted,
        };
        self.send(from, MessageGate::HardState, Body::VoteReply(reply));
    }

    fn answer_pre_vote(&mut self, from: ReplicaId, asked_term: u64, granted: bool) {
        let term = if granted { asked_term } else { self.term };
        let reply = VoteReply {
            pre_vote: true,
            granted,
        };
        if term > 0 {
            self.send_in_term(from, MessageGate::HardState, term, Body::VoteReply(reply));
        }
    }

    pub(super) fn on_vote_reply(&mut self, from: ReplicaId, term: u64, reply: &VoteReply) {
        if !reply.granted {
            return;
        }
        match &mut self.role {
            CoreRole::PreCandidate { granted } if reply.pre_vote && term == self.term + 1 => {
                granted.insert(from);
                self.count_pre_votes();
            }
            CoreRole::Candidate { granted } if !reply.pre_vote && term == self.term => {
                granted.insert(from);
                self.count_votes();
            }
            CoreRole::Follower
            | CoreRole::PreCandidate { .. }
            | CoreRole::Candidate { .. }
            | CoreRole::Leader(_) => {}
        }
    }

    fn count_pre_votes(&mut self) {
        if let CoreRole::PreCandidate { granted } = &self.role
            && self.is_majority(granted)
        {
            self.start_election(false);
        }
    }

    /// Counts the candidate's vote for itself once that vote is synced.
    pub(super) fn count_own_vote(&mut self) {
        let is_synced = self.ledger.is_synced(self.ledger.hard_state_sequence());
        if let CoreRole::Candidate { granted } = &mut self.role
            && is_synced
        {
            granted.insert(self.id);
            self.count_votes();
        }
    }

    fn count_votes(&mut self) {
        if let CoreRole::Candidate { granted } = &self.role
            && self.is_majority(granted)
        {
            self.become_leader();
        }
    }

    fn is_majority(&self, granted: &BTreeSet<ReplicaId>) -> bool {
        let membership = self.log.membership();
        membership.is_some_and(|membership| membership.is_quorum(granted))
    }

    fn become_leader(&mut self) {
        let first_index = self.append_own(EntryKind::Noop, Bytes::new());
        let leader = LeaderState::new(self.now, first_index, self.options.election_timeout);
        self.role = CoreRole::Leader(Box::new(leader));
        self.leader = Some(self.id);
        self.receiver = None;
        self.refresh_peers();
        self.inherit_silence();
        self.broadcast_round();
        log_event!(info, "replica_leads", replica = self.id, term = self.term);
    }

    /// Becomes a follower of `leader`, if it is known, in a term that is not
    /// older than the current one.
    pub(super) fn become_follower(&mut self, term: u64, leader: Option<ReplicaId>) {
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.staged.hard_state = true;
        }
        self.leader = leader;
        let reason = self.not_leader();
        let silence = self.reported_silence();
        let role = std::mem::replace(&mut self.role, CoreRole::Follower);
        if let CoreRole::Leader(state) = role {
            self.record_silence(&silence);
            self.last_leader = None;
            let refused = state.reads.iter().map(|read| ReplicaAction::ReadRefused {
                id: read.id,
                reason,
            });
            self.actions.extend(refused);
            log_event!(info, "replica_follows", replica = self.id, term = self.term);
        }
        self.reset_election();
    }

    /// Starts an election at once, because the leader transfers its leadership
    /// to this voter.
    pub(super) fn on_timeout_now(&mut self, from: ReplicaId) {
        if self.leader == Some(from) && self.is_voter() {
            self.start_election(true);
        }
    }
}
