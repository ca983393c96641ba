use tokio::sync::oneshot;

use super::{ReplicaError, Result};
use crate::prelude::*;

pub(super) type ProposalReply = oneshot::Sender<Result<Bytes>>;
pub(super) type ReadReply = oneshot::Sender<Result<u64>>;

/// Callers that wait for an outcome.
#[derive(Debug, Default)]
pub(super) struct PendingCalls {
    next_id: u64,
    unplaced: FastMap<u64, ProposalReply>,
    placed: BTreeMap<u64, PlacedProposal>,
    reads: FastMap<u64, ReadReply>,
}

/// A proposal that has its place in the log.
#[derive(Debug)]
struct PlacedProposal {
    term: u64,
    deadline: Instant,
    reply: ProposalReply,
}

impl PendingCalls {
    pub(super) fn add_proposal(&mut self, reply: ProposalReply) -> u64 {
        self.next_id += 1;
        self.unplaced.insert(self.next_id, reply);
        self.next_id
    }

    pub(super) fn add_read(&mut self, reply: ReadReply) -> u64 {
        self.next_id += 1;
        self.reads.insert(self.next_id, reply);
        self.next_id
    }

    pub(super) fn place(&mut self, id: u64, index: u64, term: u64, deadline: Instant) {
        let Some(reply) = self.unplaced.remove(&id) else {
            return;
        };
        let placed = PlacedProposal {
            term,
            deadline,
            reply,
        };
        if let Some(replaced) = self.placed.insert(index, placed) {
            answer(replaced.reply, Err(ReplicaError::Superseded));
        }
    }

    pub(super) fn refuse_proposal(&mut self, id: u64, error: ReplicaError) {
        if let Some(reply) = self.unplaced.remove(&id) {
            answer(reply, Err(error));
        }
    }

    /// Answers the proposal at `index`, now that the entry there is applied.
    pub(super) fn applied(&mut self, index: u64, term: u64, outcome: Bytes) {
        let Some(placed) = self.placed.remove(&index) else {
            return;
        };
        let outcome = match placed.term == term {
            true => Ok(outcome),
            false => Err(ReplicaError::Superseded),
        };
        answer(placed.reply, outcome);
    }

    /// What a snapshot covers was applied elsewhere, or not at all.
    pub(super) fn restored(&mut self, index: u64) {
        let later = self.placed.split_off(&(index + 1));
        let covered = std::mem::replace(&mut self.placed, later);
        for placed in covered.into_values() {
            answer(placed.reply, Err(ReplicaError::OutcomeUnknown));
        }
    }

    pub(super) fn answer_read(&mut self, id: u64, outcome: Result<u64>) {
        if let Some(reply) = self.reads.remove(&id) {
            answer(reply, outcome);
        }
    }

    /// Gives up on proposals whose time is over.
    pub(super) fn expire(&mut self, now: Instant) {
        while let Some(first) = self.placed.first_entry() {
            if now < first.get().deadline {
                break;
            }
            answer(first.remove().reply, Err(ReplicaError::OutcomeUnknown));
        }
    }

    pub(super) fn has_proposals(&self) -> bool {
        !self.placed.is_empty()
    }

    /// Nothing more will happen here: what has a place may yet take effect.
    pub(super) fn stop(&mut self, reason: &Arc<str>) {
        let stopped = || ReplicaError::Stopped(Arc::clone(reason));
        for reply in std::mem::take(&mut self.unplaced).into_values() {
            answer(reply, Err(stopped()));
        }
        for placed in std::mem::take(&mut self.placed).into_values() {
            answer(placed.reply, Err(ReplicaError::OutcomeUnknown));
        }
        for reply in std::mem::take(&mut self.reads).into_values() {
            answer(reply, Err(stopped()));
        }
    }
}

/// Tells a caller the outcome, if it still waits.
pub(super) fn answer<T>(reply: oneshot::Sender<Result<T>>, outcome: Result<T>) {
    if reply.send(outcome).is_err() {
        log_event!(debug, "replica_caller_left");
    }
}
