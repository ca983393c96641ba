use super::ReplicaAction;
use super::leader_state::PendingRead;
use super::replica_core::{CoreRole, ReplicaCore};

/// Linearizable reads: each sees everything that was committed before it was
/// requested.
impl ReplicaCore {
    pub(super) fn on_read(&mut self, reads: &[u64]) {
        if self.leader_state().is_none() {
            let reason = self.not_leader();
            let refused = reads
                .iter()
                .map(|id| ReplicaAction::ReadRefused { id: *id, reason });
            return self.actions.extend(refused);
        }
        if self.is_established() && self.has_lease() {
            return self.emit_reads_ready(reads);
        }
        self.queue_reads(reads);
        self.broadcast_round();
    }

    /// Queues reads until a majority answers a round that starts after they were
    /// requested.
    fn queue_reads(&mut self, reads: &[u64]) {
        let Some(leader) = self.leader_state() else {
            return;
        };
        let round = leader.round + 1;
        let pending = reads.iter().map(|id| PendingRead { id: *id, round });
        leader.reads.extend(pending);
    }

    /// Whether the lease holds: no other replica can have become leader, even if
    /// this one has missed messages.
    fn has_lease(&self) -> bool {
        let CoreRole::Leader(leader) = &self.role else {
            return false;
        };
        let lease_time = self.options.lease_time();
        let holds = leader
            .lease_start
            .is_some_and(|at| self.now < at + lease_time);
        holds && !leader.lease_forfeited
    }

    fn emit_reads_ready(&mut self, reads: &[u64]) {
        let index = self.commit;
        let ready = reads
            .iter()
            .map(|id| ReplicaAction::ReadReady { id: *id, index });
        self.actions.extend(ready);
    }

    /// Answers the reads whose round a majority has answered.
    pub(super) fn answer_reads(&mut self) {
        if !self.is_established() {
            return;
        }
        let Some(leader) = self.leader_state() else {
            return;
        };
        let confirmed = leader.quorum_round;
        let (ready, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut leader.reads)
            .into_iter()
            .partition(|read| read.round <= confirmed);
        leader.reads = waiting;
        let ready: Vec<u64> = ready.into_iter().map(|read| read.id).collect();
        self.emit_reads_ready(&ready);
    }
}
