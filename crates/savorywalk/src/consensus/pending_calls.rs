use tokio::sync::oneshot;

use super::{ReplicaError, Result};
use crate::prelude::*;

pub(super) type ProposalReply = oneshot::Sender<Result<Bytes>>;
pub(super) type ReadReply = oneshot::Sender<Result<u64>>;

/// Proposals and reads whose callers wait for an outcome.
#[derive(Debug, Default)]
pub(super) struct PendingCalls {
    next_id: u64,
    unappended: FastMap<u64, ProposalReply>,
    appended: BTreeMap<u64, AppendedProposal>,
    reads: FastMap<u64, ReadReply>,
}

/// A proposal that was appended to the log at a known index.
#[derive(Debug)]
struct AppendedProposal {
    term: u64,
    deadline: Instant,
    reply: ProposalReply,
}

impl PendingCalls {
    pub(super) fn add_proposal(&mut self, reply: ProposalReply) -> u64 {
        self.next_id += 1;
        self.unappended.insert(self.next_id, reply);
        self.next_id
    }

    pub(super) fn add_read(&mut self, reply: ReadReply) -> u64 {
        self.next_id += 1;
        self.reads.insert(self.next_id, reply);
        self.next_id
    }

    pub(super) fn record_appended(&mut self, id: u64, index: u64, term: u64, deadline: Instant) {
        let Some(reply) = self.unappended.remove(&id) else {
            return;
        };
        let appended = AppendedProposal {
            term,
            deadline,
            reply,
        };
        if let Some(replaced) = self.appended.insert(index, appended) {
            answer(replaced.reply, Err(ReplicaError::Superseded));
        }
    }

    pub(super) fn refuse_proposal(&mut self, id: u64, error: ReplicaError) {
        if let Some(reply) = self.unappended.remove(&id) {
            answer(reply, Err(error));
        }
    }

    /// Answers the proposal at `index` once the entry there is applied.
    pub(super) fn answer_applied(&mut self, index: u64, term: u64, outcome: Bytes) {
        let Some(appended) = self.appended.remove(&index) else {
            return;
        };
        let outcome = match appended.term == term {
            true => Ok(outcome),
            false => Err(ReplicaError::Superseded),
        };
        answer(appended.reply, outcome);
    }

    /// Answers the proposals up to `index`, which a restored snapshot covers.
    ///
    /// They were applied at another replica or not at all, so their outcome is unknown.
    pub(super) fn answer_covered(&mut self, index: u64) {
        let later = self.appended.split_off(&(index + 1));
        let covered = std::mem::replace(&mut self.appended, later);
        for appended in covered.into_values() {
            answer(appended.reply, Err(ReplicaError::OutcomeUnknown));
        }
    }

    pub(super) fn answer_read(&mut self, id: u64, outcome: Result<u64>) {
        if let Some(reply) = self.reads.remove(&id) {
            answer(reply, outcome);
        }
    }

    /// Answers proposals whose deadline has passed; their outcome is unknown.
    pub(super) fn expire(&mut self, now: Instant) {
        while let Some(first) = self.appended.first_entry() {
            if now < first.get().deadline {
                break;
            }
            answer(first.remove().reply, Err(ReplicaError::OutcomeUnknown));
        }
    }

    pub(super) fn has_proposals(&self) -> bool {
        !self.appended.is_empty()
    }

    /// Answers all callers, as the replica stops.
    ///
    /// An appended proposal may still take effect, so its outcome is unknown.
    pub(super) fn fail_all(&mut self, reason: &Arc<str>) {
        let stopped = || ReplicaError::Stopped(Arc::clone(reason));
        for reply in std::mem::take(&mut self.unappended).into_values() {
            answer(reply, Err(stopped()));
        }
        for appended in std::mem::take(&mut self.appended).into_values() {
            answer(appended.reply, Err(ReplicaError::OutcomeUnknown));
        }
        for reply in std::mem::take(&mut self.reads).into_values() {
            answer(reply, Err(stopped()));
        }
    }
}

/// Sends the outcome to a caller, if it still waits.
pub(super) fn answer<T>(reply: oneshot::Sender<Result<T>>, outcome: Result<T>) {
    if reply.send(outcome).is_err() {
        log_event!(debug, "replica_caller_left");
    }
}
