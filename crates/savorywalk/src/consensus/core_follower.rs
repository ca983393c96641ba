use super::replica_core::{CoreRole, MessageGate, ReplicaCore};
use super::{AppendReply, AppendRequest, Body, LogEntry, ReplicaId};
use crate::prelude::*;

/// Handling of the messages that a leader sends.
impl ReplicaCore {
    /// Records a message of the leader of this term. Returns false if this
    /// replica leads the term itself, which no correct sender can cause.
    pub(super) fn follow(&mut self, leader: ReplicaId) -> bool {
        match self.role {
            CoreRole::Leader(_) => {
                log_event!(
                    error,
                    "two_leaders_in_one_term",
                    term = self.term,
                    other = leader
                );
                return false;
            }
            CoreRole::PreCandidate { .. } | CoreRole::Candidate { .. } => {
                self.become_follower(self.term, Some(leader));
            }
            CoreRole::Follower => {}
        }
        self.leader = Some(leader);
        self.last_leader = Some(leader);
        self.leader_contact = self.now;
        self.reset_election();
        true
    }

    /// Answers a message of an old term, so that its sender learns the newer one.
    pub(super) fn refuse_old_term(&mut self, from: ReplicaId, body: &Body) {
        match body {
            Body::AppendRequest(request) => self.refuse_append(from, request, 0),
            Body::SnapshotChunk(_) => {
                let reply = Body::AppendReply(AppendReply::default());
                self.send(from, MessageGate::Log, reply);
            }
            Body::VoteRequest(request) if request.pre_vote => {
                let reply = super::VoteReply {
                    pre_vote: true,
                    granted: false,
                };
                self.send(from, MessageGate::HardState, Body::VoteReply(reply));
            }
            Body::VoteRequest(_)
            | Body::VoteReply(_)
            | Body::AppendReply(_)
            | Body::SnapshotReply(_)
            | Body::TimeoutNow(_)
            | Body::JoinRequest(_)
            | Body::JoinHint(_)
            | Body::FormationOffer(_) => {}
        }
    }

    pub(super) fn on_append(&mut self, from: ReplicaId, request: &AppendRequest) {
        if !self.follow(from) {
            return;
        }
        self.record_silence(&request.silent_members);
        let prev = request.prev_index;
        if prev >= self.commit && self.log.term_at(prev) != Some(request.prev_term) {
            let hint = self.conflict_hint(prev);
            return self.refuse_append(from, request, hint);
        }
        for entry in &request.entries {
            if !self.accept_entry(entry) {
                return;
            }
        }
        let matched = (prev + request.entries.len() as u64).max(self.commit);
        self.commit_to(request.commit.min(matched));
        let reply = AppendReply {
            accepted: true,
            index: matched,
            refused: 0,
            round: request.round,
        };
        self.send(from, MessageGate::Log, Body::AppendReply(reply));
    }

    /// Appends an entry that the log lacks. Returns false if the entry
    /// contradicts a committed one.
    fn accept_entry(&mut self, entry: &LogEntry) -> bool {
        if entry.index <= self.log.base_index() || self.log.term_at(entry.index) == Some(entry.term)
        {
            return true;
        }
        if entry.index <= self.commit {
            log_event!(error, "committed_entry_contradicted", index = entry.index);
            return false;
        }
        if entry.index <= self.log.last_index() {
            self.log.truncate_from(entry.index);
            self.ledger.truncate_from(entry.index);
        }
        self.append_entry(entry.clone());
        true
    }

    /// Returns the first index whose entry has the term of the one at `prev`, not
    /// below the commit index. If `prev` is beyond the log, returns the index
    /// after the last entry.
    fn conflict_hint(&self, prev: u64) -> u64 {
        let last = self.log.last_index();
        if prev > last {
            return last + 1;
        }
        let term = self.log.term_at(prev);
        let lowest = self.commit.max(self.log.base_index()) + 1;
        let mut hint = prev;
        while hint > lowest && self.log.term_at(hint - 1) == term {
            hint -= 1;
        }
        hint
    }

    fn refuse_append(&mut self, from: ReplicaId, request: &AppendRequest, hint: u64) {
        let reply = AppendReply {
            accepted: false,
            index: hint,
            refused: request.prev_index,
            round: request.round,
        };
        self.send(from, MessageGate::Log, Body::AppendReply(reply));
    }
}
