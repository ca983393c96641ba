use super::cluster_simulation::{ClusterSimulation, SimulatedEvent};
use super::{SimulatedReplica, Violation};
use crate::consensus::{NodeDiscovery, NodeNumber, ReplicaOptions};
use crate::prelude::*;

/// Silence after which a voter is lost. Election timeouts are a quarter of those of a
/// deployment, and so are all times here.
const LOST_AFTER: Duration = Duration::from_millis(625);
/// Time after which a replica that was lost or is new counts as whole (`catchUpS` is 4 s).
const CATCH_UP: Duration = Duration::from_secs(1);
/// Longest effect of one injected fault: a pause.
const LONGEST_FAULT: Duration = Duration::from_millis(600);
/// Longest time between a removal and the start of the successor.
const LONGEST_ABSENCE: Duration = Duration::from_millis(2_500);
/// Time in which the cluster is founded.
const FOUNDING_TIME: Duration = Duration::from_millis(300);
/// Most voters of the cluster.
const MAX_VOTERS: usize = 9;
/// Seeds in the settings of a new replica.
const SEEDS: usize = 3;

/// What has been removed, and until when the deployment is not whole.
#[derive(Debug, Default)]
pub(super) struct ReplacementTrace {
    pub(super) removed: BTreeSet<usize>,
    whole_at: Duration,
}

impl ReplacementTrace {
    /// Whether one more replica may be lost for good within the tolerance.
    pub(super) fn is_whole(&self, now: Duration) -> bool {
        now >= self.whole_at
    }
}

/// Replacement of replicas by others with empty disks at new nodes.
impl ClusterSimulation {
    /// Runs with replacements, one at a time, and returns the first violation.
    pub(super) fn run_with_replacements(&mut self) -> Result<(), Violation> {
        for node in 0..self.replicas.len() {
            self.restart(node);
        }
        self.schedule_after(FOUNDING_TIME * 4, SimulatedEvent::Fault);
        self.schedule_after(FOUNDING_TIME * 4, SimulatedEvent::Replace);
        self.schedule_after(FOUNDING_TIME, SimulatedEvent::Client);
        self.run_until(self.schedule.faulty_time)?;
        self.finish()
    }

    /// Records that a fault begins, after which replicas need time to catch up.
    pub(super) fn note_fault(&mut self) {
        let whole_at = self.now + LONGEST_FAULT + CATCH_UP;
        self.replacements.whole_at = self.replacements.whole_at.max(whole_at);
        self.schedule_after(LONGEST_FAULT, SimulatedEvent::Heal);
    }

    pub(super) fn discover_by_seeds(&mut self, options: &mut ReplicaOptions) {
        let may_found = self.now < FOUNDING_TIME;
        let removed = &self.replacements.removed;
        let running = (0..self.replicas.len()).filter(|node| !removed.contains(node));
        let seeds = running.take(SEEDS);
        options.nodes = seeds.map(|node| NodeNumber::new(node as u32)).collect();
        options.discovery = NodeDiscovery::Seeds {
            may_found,
            max_voters: MAX_VOTERS,
            replace_after: LOST_AFTER,
        };
        options.max_append_bytes = 4_096;
        options.snapshot_chunk_bytes = 65_536;
        options.lease_margin_permille = 1_000;
    }

    /// Removes the leader or the oldest replica for good, if all others are whole.
    pub(super) fn replace(&mut self) {
        if self.now >= self.schedule.faulty_time {
            return;
        }
        if !self.replacements.is_whole(self.now) {
            let wait = self.schedule.time(CATCH_UP / 4);
            return self.schedule_after(wait, SimulatedEvent::Replace);
        }
        let removed = &self.replacements.removed;
        let oldest = (0..self.replicas.len()).find(|node| !removed.contains(node));
        let victim = match self.schedule.happens_with(0.6) {
            true => self.pick_leader(),
            false => oldest.unwrap_or_default(),
        };
        if self.replacements.removed.contains(&victim) {
            return self.schedule_after(CATCH_UP / 4, SimulatedEvent::Replace);
        }
        self.replicas[victim].crash(true, &mut self.schedule);
        self.replacements.removed.insert(victim);
        self.check_majority_runs();
        let longest = match self.schedule.happens_with(0.2) {
            true => LONGEST_ABSENCE,
            false => LOST_AFTER,
        };
        let absence = self.schedule.time(longest);
        self.replacements.whole_at = self.now + absence + CATCH_UP;
        self.schedule_after(absence, SimulatedEvent::Succeed);
        let next = absence + CATCH_UP + self.schedule.time(CATCH_UP / 4);
        self.schedule_after(next, SimulatedEvent::Replace);
    }

    /// Starts a replica with an empty disk at a new node.
    pub(super) fn start_successor(&mut self) {
        let node = self.replicas.len();
        let replica = SimulatedReplica::new(node as u32, &mut self.schedule);
        self.replicas.push(replica);
        self.restart(node);
    }

    /// Checks that the voters of each leader that are left are a majority.
    fn check_majority_runs(&mut self) {
        let Some(voters) = self.leader_membership() else {
            return;
        };
        let is_left = |id: &&crate::consensus::ReplicaId| {
            let mut replicas = self.replicas.iter().enumerate();
            replicas.any(|(node, replica)| {
                replica.id == **id && !self.replacements.removed.contains(&node)
            })
        };
        let running = voters.iter().filter(is_left).count();
        if running <= voters.len() / 2 {
            let voters = voters.len();
            self.check
                .report(Violation::NoMajorityRuns { voters, running });
        }
    }
}
