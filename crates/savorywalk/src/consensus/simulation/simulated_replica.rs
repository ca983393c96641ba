use super::{FaultSchedule, ListMachine};
use crate::consensus::{
    NodeNumber, PersistBatch, RecoveredState, ReplicaCore, ReplicaId, ReplicaOptions, SeededMistake,
};
use crate::prelude::*;
use crate::storage::simulated_folder::SimulatedFolder;
use crate::storage::{LogStorage, SegmentOptions, SegmentedLog, StorageError};

/// One replica of a simulation: its core while it runs, and its disk.
#[derive(Debug)]
pub(super) struct SimulatedReplica {
    pub(super) id: ReplicaId,
    pub(super) core: Option<ReplicaCore>,
    pub(super) machine: ListMachine,
    pub(super) disk: SimulatedFolder,
    pub(super) storage: SegmentedLog<SimulatedFolder>,
    /// Batches that wait for the sync in progress to end.
    pub(super) waiting: Vec<PersistBatch>,
    /// Batches of the sync in progress.
    pub(super) syncing: Vec<PersistBatch>,
    /// Counts starts, so that what was meant for an earlier one is dropped.
    pub(super) life: u64,
    pub(super) paused_until: Duration,
    pub(super) wake_at: Option<Duration>,
    pub(super) snapshot_index: u64,
    /// Commands that wait to be applied here, by index and term.
    pub(super) proposals: FastMap<(u64, u64), u64>,
    /// Reads that wait, with the index that each must reach.
    pub(super) reads: FastMap<u64, u64>,
    clock_permille: u32,
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
            life: 0,
            paused_until: Duration::ZERO,
            wake_at: None,
            snapshot_index: 0,
            proposals: FastMap::default(),
            reads: FastMap::default(),
            clock_permille: 980 + schedule.time(Duration::from_millis(40)).as_millis() as u32,
        }
    }

    /// The replica's own clock, which drifts within the lease's margin.
    pub(super) fn clock(&self, epoch: Instant, now: Duration) -> Instant {
        epoch + now * self.clock_permille / 1_000
    }

    /// When the replica's own clock will show `due`.
    pub(super) fn time_of(&self, epoch: Instant, due: Instant) -> Duration {
        let shown = due.saturating_duration_since(epoch);
        shown * 1_000 / self.clock_permille + Duration::from_micros(1)
    }

    /// Starts from what is on the disk.
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

    /// Stops at once; a sync in progress ends half-way or not at all.
    pub(super) fn crash(&mut self, power_fails: bool, schedule: &mut FaultSchedule) {
        let syncing = std::mem::take(&mut self.syncing);
        if !syncing.is_empty() && schedule.chance(0.7) {
            let steps = schedule.time(Duration::from_secs(6)).as_secs() as u32;
            self.disk.fail_sync_after(steps);
            let _torn = self.storage.persist(&syncing);
        }
        if power_fails {
            self.disk.crash(&mut schedule.random);
        }
        self.forget();
    }

    /// Loses the disk; comes back under a new identity.
    pub(super) fn lose_disk(&mut self, schedule: &FaultSchedule) {
        self.forget();
        self.disk = SimulatedFolder::default();
        if schedule.mistake != Some(SeededMistake::ReturningReplicaVotes) {
            self.id = ReplicaId::new(self.id.node(), self.id.incarnation() + 1);
        }
    }

    fn forget(&mut self) {
        self.disk.heal();
        self.core = None;
        self.life += 1;
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
