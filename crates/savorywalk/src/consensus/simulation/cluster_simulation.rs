use rand::RngExt;

use super::{
    FaultSchedule, HistoryCheck, ListMachine, ReplacementTrace, SimulatedReplica, Violation,
};
use crate::consensus::{
    EntryKind, LogEntry, NodeNumber, ReplicaAction, ReplicaEvent, ReplicaId, ReplicaMessage,
    ReplicaOptions, ReplicaProposal, ReplicaRole,
};
use crate::prelude::*;
use crate::storage::{LogStorage, StorageError};

pub(super) const FAULTY_TIME: Duration = Duration::from_millis(2_500);
const FAULT_FREE_TIME: Duration = Duration::from_millis(3_000);
pub(super) const MAX_EVENTS: u64 = 100_000;
const LOG_CHECK_EVENTS: u64 = 64;

/// Simulates several replicas under one fault schedule, in virtual time.
#[derive(Debug)]
pub(super) struct ClusterSimulation {
    pub(super) schedule: FaultSchedule,
    pub(super) replicas: Vec<SimulatedReplica>,
    epoch: Instant,
    pub(super) now: Duration,
    queue: BTreeMap<(Duration, u64), SimulatedEvent>,
    event_count: u64,
    next_number: u64,
    blocked: FastSet<(usize, usize)>,
    /// Node whose disk was lost and whose new replica is not a voter yet.
    repairing: Option<usize>,
    /// Identity that the replica on that node had before.
    lost_id: Option<ReplicaId>,
    pub(super) disks_lost: u64,
    pub(super) replacements: ReplacementTrace,
    pub(super) check: HistoryCheck,
}

#[derive(Clone, Debug)]
pub(super) enum SimulatedEvent {
    Deliver(Box<ReplicaMessage>),
    Handle {
        node: usize,
        start_number: u64,
        event: ReplicaEvent,
    },
    Wake {
        node: usize,
        start_number: u64,
    },
    SyncDone {
        node: usize,
        start_number: u64,
    },
    Restart {
        node: usize,
        start_number: u64,
    },
    Client,
    Fault,
    /// Removes a replica for good, if all others count as whole.
    Replace,
    /// Starts the successor of a removed replica.
    Succeed,
    /// Ends all partitions.
    Heal,
}

impl ClusterSimulation {
    pub(super) fn new(mut schedule: FaultSchedule) -> Self {
        let nodes = 0..schedule.nodes;
        let replicas = nodes.map(|node| SimulatedReplica::new(node, &mut schedule));
        Self {
            replicas: replicas.collect(),
            schedule,
            epoch: Instant::now(),
            now: Duration::ZERO,
            queue: BTreeMap::new(),
            event_count: 0,
            next_number: 0,
            blocked: FastSet::default(),
            repairing: None,
            lost_id: None,
            disks_lost: 0,
            replacements: ReplacementTrace::default(),
            check: HistoryCheck::default(),
        }
    }

    /// Runs with faults, then without, and returns the first violation.
    pub(super) fn run(&mut self) -> Result<(), Violation> {
        for node in 0..self.replicas.len() {
            self.restart(node);
        }
        self.schedule_after(Duration::from_millis(300), SimulatedEvent::Fault);
        self.schedule_after(Duration::from_millis(100), SimulatedEvent::Client);
        self.run_until(FAULTY_TIME)?;
        self.finish()
    }

    /// Runs without faults and checks the end state.
    pub(super) fn finish(&mut self) -> Result<(), Violation> {
        self.clear_faults();
        self.run_until(self.now + FAULT_FREE_TIME)?;
        self.check_end();
        self.result()
    }

    fn result(&self) -> Result<(), Violation> {
        match self.check.violation() {
            Some(violation) => Err(violation.clone()),
            None => Ok(()),
        }
    }

    pub(super) fn run_until(&mut self, end: Duration) -> Result<(), Violation> {
        while let Some((key, event)) = self.queue.pop_first() {
            if key.0 > end {
                self.queue.insert(key, event);
                break;
            }
            self.now = key.0;
            self.step(event);
            self.event_count += 1;
            if self.event_count.is_multiple_of(LOG_CHECK_EVENTS) {
                self.check_logs();
                self.update_repair();
            }
            if self.event_count > self.schedule.max_events {
                self.check.report(Violation::NoProgress);
            }
            self.result()?;
        }
        self.now = end;
        Ok(())
    }

    fn unique_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    pub(super) fn schedule_after(&mut self, delay: Duration, event: SimulatedEvent) {
        let number = self.unique_number();
        self.queue.insert((self.now + delay, number), event);
    }

    fn is_faulty(&self) -> bool {
        self.now < self.schedule.faulty_time
    }

    fn step(&mut self, event: SimulatedEvent) {
        match event {
            SimulatedEvent::Deliver(message) => self.deliver(message),
            SimulatedEvent::Handle {
                node,
                start_number,
                event,
            } => self.handle_later(node, start_number, event),
            SimulatedEvent::Wake { node, start_number } => self.wake(node, start_number),
            SimulatedEvent::SyncDone { node, start_number } => self.finish_sync(node, start_number),
            SimulatedEvent::Restart { node, start_number } => {
                if self.replicas[node].start_number == start_number
                    && self.replicas[node].core.is_none()
                {
                    self.restart(node);
                }
            }
            SimulatedEvent::Client => self.act_as_client(),
            SimulatedEvent::Fault => self.inject_fault(),
            SimulatedEvent::Replace => self.replace(),
            SimulatedEvent::Succeed => self.start_successor(),
            SimulatedEvent::Heal => self.blocked.clear(),
        }
    }

    fn options(&mut self) -> ReplicaOptions {
        let nodes = (0..self.schedule.nodes).map(NodeNumber::new).collect();
        let mut options = ReplicaOptions::new(nodes, self.schedule.random.random());
        options.election_timeout = Duration::from_millis(100);
        options.heartbeat_interval = Duration::from_millis(25);
        options.join_interval = Duration::from_millis(50);
        options.max_append_bytes = 40;
        options.max_inflight = 4;
        options.max_uncommitted = 64;
        options.snapshot_chunk_bytes = 100;
        options.trailing_entries = self.schedule.trailing_entries;
        options.mistake = self.schedule.mistake;
        if self.schedule.replaces {
            self.discover_by_seeds(&mut options);
        }
        options
    }

    pub(super) fn restart(&mut self, node: usize) {
        let options = self.options();
        let replica = &mut self.replicas[node];
        let now = replica.clock(self.epoch, self.now);
        match replica.start(now, options, &self.schedule) {
            Ok(()) => {}
            Err(StorageError::Io { .. }) => return self.crash(node, true),
            Err(error) => {
                let error = error.to_string();
                return self.check.report(Violation::Unrecoverable { error });
            }
        }
        self.handle(node, ReplicaEvent::Tick);
    }

    fn deliver(&mut self, message: Box<ReplicaMessage>) {
        let to = ReplicaId::from_u64(message.to);
        let node = (to.as_u64() >> 32) as usize;
        let start_number = self.replicas[node].start_number;
        self.handle_later(node, start_number, ReplicaEvent::Message(message));
    }

    /// Passes an event to a replica, after its pause if it is paused.
    fn handle_later(&mut self, node: usize, start_number: u64, event: ReplicaEvent) {
        let replica = &self.replicas[node];
        if replica.start_number != start_number {
            return;
        }
        if replica.paused_until > self.now {
            let wait = replica.paused_until - self.now;
            return self.schedule_after(
                wait,
                SimulatedEvent::Handle {
                    node,
                    start_number,
                    event,
                },
            );
        }
        self.handle(node, event);
    }

    fn handle(&mut self, node: usize, event: ReplicaEvent) {
        let replica = &mut self.replicas[node];
        let now = replica.clock(self.epoch, self.now);
        let Some(core) = &mut replica.core else {
            return;
        };
        let actions = core.handle(now, event);
        for action in actions {
            self.perform(node, action);
        }
        if let Some(core) = &self.replicas[node].core {
            self.check.on_core(core);
        }
        self.take_snapshot(node);
        self.schedule_wake(node);
    }

    fn schedule_wake(&mut self, node: usize) {
        let replica = &mut self.replicas[node];
        let Some(core) = &replica.core else { return };
        let due = replica
            .virtual_time(self.epoch, core.next_due())
            .max(self.now);
        if replica.wake_at.is_some_and(|wake_at| wake_at <= due) {
            return;
        }
        replica.wake_at = Some(due);
        let start_number = replica.start_number;
        self.schedule_after(due - self.now, SimulatedEvent::Wake { node, start_number });
    }

    fn wake(&mut self, node: usize, start_number: u64) {
        let replica = &mut self.replicas[node];
        if replica.start_number != start_number {
            return;
        }
        replica.wake_at = None;
        self.handle_later(node, start_number, ReplicaEvent::Tick);
    }

    fn perform(&mut self, node: usize, action: ReplicaAction) {
        match action {
            ReplicaAction::Persist(batch) => {
                self.replicas[node].waiting.push(batch);
                self.start_sync(node);
            }
            ReplicaAction::Send(message) => self.send(node, message),
            ReplicaAction::Apply(entries) => self.apply(node, &entries),
            ReplicaAction::Restore(record) => {
                let machine = ListMachine::restore(&record.state);
                self.check.on_restored(record.index, &machine);
                self.replicas[node].machine = machine;
            }
            ReplicaAction::ProposalAppended { id, index, term } => {
                self.replicas[node].proposals.insert((index, term), id);
            }
            ReplicaAction::ProposalRefused { .. } => {}
            ReplicaAction::ReadReady { id, index } => {
                if let Some(floor) = self.replicas[node].reads.remove(&id) {
                    self.check.on_read(index, floor);
                }
            }
            ReplicaAction::ReadRefused { id, .. } => {
                self.replicas[node].reads.remove(&id);
            }
        }
    }

    fn apply(&mut self, node: usize, entries: &[LogEntry]) {
        let core = self.replicas[node].core.as_ref();
        let term = core.map_or(0, |core| core.term());
        for entry in entries {
            self.check.on_applied(term, entry);
            let replica = &mut self.replicas[node];
            if entry.kind() == EntryKind::Command {
                replica.machine.apply(&entry.payload);
            }
            let position = (entry.index, entry.term);
            if let Some(command) = replica.proposals.remove(&position) {
                self.check.on_acknowledged(entry.index, command);
            }
        }
    }

    fn take_snapshot(&mut self, node: usize) {
        let replica = &mut self.replicas[node];
        let Some(core) = &replica.core else { return };
        let index = core.applied_index();
        if index < replica.snapshot_index + self.schedule.snapshot_every {
            return;
        }
        replica.snapshot_index = index;
        let state = replica.machine.snapshot();
        self.handle(node, ReplicaEvent::SnapshotTaken { index, state });
    }

    fn start_sync(&mut self, node: usize) {
        let wait = self.schedule.time(self.schedule.max_sync);
        let replica = &mut self.replicas[node];
        if replica.waiting.is_empty() || !replica.syncing.is_empty() {
            return;
        }
        replica.syncing = std::mem::take(&mut replica.waiting);
        let start_number = replica.start_number;
        self.schedule_after(wait, SimulatedEvent::SyncDone { node, start_number });
    }

    fn finish_sync(&mut self, node: usize, start_number: u64) {
        let replica = &mut self.replicas[node];
        if replica.start_number != start_number {
            return;
        }
        let batches = std::mem::take(&mut replica.syncing);
        let Some(last) = batches.last() else { return };
        let sequence = last.sequence;
        if replica.storage.persist(&batches).is_err() {
            return self.crash(node, true);
        }
        self.start_sync(node);
        self.handle_later(node, start_number, ReplicaEvent::Persisted { sequence });
    }

    fn send(&mut self, from: usize, message: Box<ReplicaMessage>) {
        let to = (message.to >> 32) as usize;
        if self.blocked.contains(&(from, to)) {
            return;
        }
        let copies = match self.is_faulty() {
            true if self.schedule.happens_with(self.schedule.loss_probability) => 0,
            true if self
                .schedule
                .happens_with(self.schedule.duplication_probability) =>
            {
                2
            }
            true | false => 1,
        };
        for _ in 0..copies {
            let delay = self.schedule.time(self.schedule.max_delay);
            self.schedule_after(delay, SimulatedEvent::Deliver(message.clone()));
        }
    }

    fn act_as_client(&mut self) {
        let gap = self.schedule.time(self.schedule.proposal_gap * 2);
        if self.is_faulty() {
            self.schedule_after(gap, SimulatedEvent::Client);
        }
        let node = match self.schedule.happens_with(0.7) {
            true => self.pick_leader(),
            false => self.schedule.node(),
        };
        let id = self.unique_number();
        let start_number = self.replicas[node].start_number;
        if self.schedule.happens_with(0.6) {
            let payload = Bytes::copy_from_slice(&id.to_le_bytes());
            let event = ReplicaEvent::Propose(vec![ReplicaProposal { id, payload }]);
            return self.handle_later(node, start_number, event);
        }
        let floor = self.check.read_floor();
        self.replicas[node].reads.insert(id, floor);
        self.handle_later(node, start_number, ReplicaEvent::Read(vec![id]));
    }

    /// Picks a replica in the leader role, possibly of an old term; a random node
    /// if there is none.
    pub(super) fn pick_leader(&mut self) -> usize {
        let start = self.schedule.node();
        let count = self.replicas.len();
        let mut nodes = (0..count).map(|step| (start + step) % count);
        let is_leader = |node: &usize| {
            let core = self.replicas[*node].core.as_ref();
            core.is_some_and(|core| core.role() == ReplicaRole::Leader)
        };
        nodes.find(is_leader).unwrap_or(start)
    }

    fn inject_fault(&mut self) {
        if !self.is_faulty() {
            return;
        }
        let gap = self.schedule.time(self.schedule.fault_gap * 2);
        self.schedule_after(gap, SimulatedEvent::Fault);
        let node = match self.schedule.happens_with(0.5) {
            true => self.pick_leader(),
            false => self.schedule.node(),
        };
        if self.replacements.removed.contains(&node) {
            return;
        }
        if self.schedule.replaces {
            self.note_fault();
        }
        match self.schedule.random.random_range(0..12) {
            0..=2 => self.partition(node),
            3 | 4 => self.blocked.clear(),
            5 | 6 => self.crash(node, true),
            7 => self.crash(node, false),
            8 | 9 => self.pause(node),
            10 if self.schedule.loses_disks => self.lose_disk(node),
            10 => self.replicas[node].disk.fail_sync_after(0),
            _ => self.handle(node, ReplicaEvent::TransferLeadership { to: None }),
        }
    }

    /// Blocks the network between a node and most others, in one or both
    /// directions.
    fn partition(&mut self, node: usize) {
        let (inward, outward) = match self.schedule.random.random_range(0..4) {
            0 => (true, false),
            1 => (false, true),
            _ => (true, true),
        };
        for other in 0..self.replicas.len() {
            if other == node || self.schedule.happens_with(0.1) {
                continue;
            }
            if inward {
                self.blocked.insert((other, node));
            }
            if outward {
                self.blocked.insert((node, other));
            }
        }
    }

    fn pause(&mut self, node: usize) {
        let time = self.schedule.time(Duration::from_millis(600));
        self.replicas[node].paused_until = self.now + time;
    }

    fn crash(&mut self, node: usize, power_fails: bool) {
        self.replicas[node].crash(power_fails, &mut self.schedule);
        let wait = self.schedule.time(Duration::from_millis(400));
        let start_number = self.replicas[node].start_number;
        self.schedule_after(wait, SimulatedEvent::Restart { node, start_number });
    }

    /// Erases a node's disk if its replica is a committed voter and no other
    /// disk is being repaired.
    fn lose_disk(&mut self, node: usize) {
        let is_whole = !self.schedule.replaces || self.replacements.is_whole(self.now);
        if self.repairing.is_some() || !is_whole || !self.is_committed_voter(node) {
            return;
        }
        self.repairing = Some(node);
        self.lost_id = Some(self.replicas[node].id);
        self.disks_lost += 1;
        self.replicas[node].lose_disk(&self.schedule);
        let wait = self.schedule.time(Duration::from_millis(100));
        let start_number = self.replicas[node].start_number;
        self.schedule_after(wait, SimulatedEvent::Restart { node, start_number });
        if self.schedule.loses_all_power {
            let others = (0..self.replicas.len()).filter(|other| *other != node);
            for other in others {
                self.crash(other, true);
            }
        }
    }

    /// Whether the node's replica is a voter of a committed membership.
    fn is_committed_voter(&self, node: usize) -> bool {
        let id = self.replicas[node].id;
        self.leader_membership()
            .is_some_and(|voters| voters.contains(&id))
    }

    /// Voters of the newest leader's membership, if that is committed.
    pub(super) fn leader_membership(&self) -> Option<Vec<ReplicaId>> {
        let cores = self
            .replicas
            .iter()
            .filter_map(|replica| replica.core.as_ref());
        let leaders = cores.filter(|core| core.role() == ReplicaRole::Leader);
        let newest = leaders.max_by_key(|core| core.term())?;
        if newest.log.membership_index() > newest.commit_index() {
            return None;
        }
        Some(newest.membership()?.voters().collect())
    }

    /// Ends the repair of a lost disk once a committed membership has the new
    /// identity instead of the lost one. During the faulty time, another disk is
    /// then lost at once with probability 0.5.
    fn update_repair(&mut self) {
        let (Some(node), Some(lost_id)) = (self.repairing, self.lost_id) else {
            return;
        };
        let Some(voters) = self.leader_membership() else {
            return;
        };
        let new = self.replicas[node].id;
        let is_replaced = voters.contains(&new) && (new == lost_id || !voters.contains(&lost_id));
        if !is_replaced {
            return;
        }
        self.repairing = None;
        if self.is_faulty() && self.schedule.happens_with(0.5) {
            let next = (node + 1) % self.replicas.len();
            self.lose_disk(next);
        }
    }

    fn clear_faults(&mut self) {
        self.blocked.clear();
        for node in 0..self.replicas.len() {
            self.replicas[node].paused_until = Duration::ZERO;
            self.replicas[node].disk.heal();
        }
    }

    fn check_logs(&mut self) {
        let cores: Vec<_> = self
            .replicas
            .iter()
            .filter_map(|replica| replica.core.as_ref())
            .collect();
        for (position, a) in cores.iter().enumerate() {
            for b in &cores[position + 1..] {
                self.check.on_logs(a, b);
            }
        }
    }

    fn check_end(&mut self) {
        self.check_logs();
        let replicas = self.replicas.iter().enumerate();
        let running = replicas.filter(|(node, _)| !self.replacements.removed.contains(node));
        let machines: Vec<ListMachine> = running
            .map(|(_, replica)| replica.machine.clone())
            .collect();
        let is_same = machines.iter().all(|machine| *machine == machines[0]);
        if self.leader_membership().is_none() || !is_same {
            self.check.report(Violation::NotConverged);
        }
        self.check.on_end(&machines[0]);
    }
}
