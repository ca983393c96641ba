use super::{FaultSchedule, ListMachine};
use crate::consensus::{
    NodeNumber, PersistBatch, RecoveredState, ReplicaCore, ReplicaId, ReplicaOptions, SeededMistake,
};
use crate::prelude::*;
use crate::storage::simulated_folder::SimulatedFolder;
use crate::storage::{LogStorage, SegmentOptions, SegmentedLog, StorageError};

/// One replica of a simulation, with its disk and, while it runs, its core.
#[derive(Debug)]
pub(super) struct SimulatedReplica {
    pub(super) id: ReplicaId,
    pub(super) core: Option<ReplicaCore>,
    pub(super) machine: ListMachine,
    pub(super) disk: SimulatedFolder,
    pub(super) storage: SegmentedLog<SimulatedFolder>,
    /// Batches that wait until the current sync has ended.
    pub(super) waiting: Vec<PersistBatch>,
    /// Batches of the current sync.
    pub(super) syncing: Vec<PersistBatch>,
    /// Number of the start, so that events for an earlier start are dropped.
    pub(super) start_number: u64,
    pub(super) paused_until: Duration,
    pub(super) wake_at: Option<Duration>,
    pub(super) snapshot_index: u64,
    /// Proposed commands that are not applied yet, by index and term.
    pub(super) proposals: FastMap<(u64, u64), u64>,
    /// Reads in progress, with the lowest index that each must return.
    pub(super) reads: FastMap<u64, u64>,
    clock_rate_permille: u32,
}

impl SimulatedReplica {
    pub(super) fn new(node: u32, schedule: &mut FaultSchedule) -> Self {
        let disk = SimulatedFolder::default();
        Self {
            id: ReplicaId::new(NodeNumber::new(node), 1),
            core: None,
            machine: ListMachine::default(),
            storage: open(&disk, schedule),
            disk,
            waiting: Vec::new(),
            syncing: Vec::new(),
            start_number: 0,
            paused_until: Duration::ZERO,
            wake_at: None,
            snapshot_index: 0,
            proposals: FastMap::default(),
            reads: FastMap::default(),
            clock_rate_permille: 980 + schedule.time(Duration::from_millis(40)).as_millis() as u32,
        }
    }

    /// The time on the replica's clock, which drifts within the lease margin.
    pub(super) fn clock(&self, epoch: Instant, now: Duration) -> Instant {
        epoch + now * self.clock_rate_permille / 1_000
    }

    /// Virtual time at which the replica's clock shows `due`.
    pub(super) fn virtual_time(&self, epoch: Instant, due: Instant) -> Duration {
        let shown = due.saturating_duration_since(epoch);
        shown * 1_000 / self.clock_rate_permille + Duration::from_micros(1)
    }

    /// Starts from the state on the disk.
    pub(super) fn start(
        &mut self,
        now: Instant,
        options: ReplicaOptions,
        schedule: &FaultSchedule,
    ) -> Result<(), StorageError> {
        self.storage = open(&self.disk, schedule);
        let recovered: RecoveredState = self.storage.recover()?;
        let snapshot = recovered.snapshot.as_ref();
        self.machine = snapshot.map_or_else(ListMachine::default, |snapshot| {
            ListMachine::restore(&snapshot.state)
        });
        self.snapshot_index = snapshot.map_or(0, |snapshot| snapshot.index);
        self.core = Some(ReplicaCore::new(now, self.id, options, recovered));
        Ok(())
    }

    /// Stops immediately; the current sync is cut short or discarded.
    pub(super) fn crash(&mut self, power_fails: bool, schedule: &mut FaultSchedule) {
        let syncing = std::mem::take(&mut self.syncing);
        if !syncing.is_empty() && schedule.happens_with(0.7) {
            let steps = schedule.time(Duration::from_secs(6)).as_secs() as u32;
            self.disk.fail_sync_after(steps);
            let _torn = self.storage.persist(&syncing);
        }
        if power_fails {
            self.disk.crash(&mut schedule.random);
        }
        self.reset_volatile();
    }

    /// Replaces the disk by an empty one and takes a new identity, unless the
    /// seeded mistake keeps the old one.
    pub(super) fn lose_disk(&mut self, schedule: &FaultSchedule) {
        self.reset_volatile();
        self.disk = SimulatedFolder::default();
        if schedule.mistake != Some(SeededMistake::ReturningReplicaVotes) {
            self.id = ReplicaId::new(self.id.node(), self.id.incarnation() + 1);
        }
    }

    fn reset_volatile(&mut self) {
        self.disk.heal();
        self.core = None;
        self.start_number += 1;
        self.waiting.clear();
        self.syncing.clear();
        self.proposals.clear();
        self.reads.clear();
        self.wake_at = None;
        self.paused_until = Duration::ZERO;
    }
}

fn open(disk: &SimulatedFolder, schedule: &FaultSchedule) -> SegmentedLog<SimulatedFolder> {
    let segment_bytes = schedule.segment_bytes;
    SegmentedLog::new(disk.clone(), SegmentOptions { segment_bytes })
}
