use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::cluster_simulation::{FAULTY_TIME, MAX_EVENTS};
use crate::consensus::SeededMistake;
use crate::prelude::*;

/// Parameters that a seed determines: cluster size, network, disks and the rate
/// of faults.
#[derive(Clone, Debug)]
pub(super) struct FaultSchedule {
    pub(super) random: ChaCha8Rng,
    pub(super) nodes: u32,
    pub(super) loss_probability: f64,
    pub(super) duplication_probability: f64,
    pub(super) max_delay: Duration,
    pub(super) max_sync: Duration,
    /// Mean time between faults.
    pub(super) fault_gap: Duration,
    /// Mean time between client requests.
    pub(super) proposal_gap: Duration,
    /// Applied entries between snapshots of a replica.
    pub(super) snapshot_every: u64,
    pub(super) trailing_entries: u64,
    pub(super) segment_bytes: usize,
    pub(super) loses_disks: bool,
    /// Whether replicas are replaced by others at new nodes; they find each other by seeds.
    pub(super) replaces: bool,
    /// Time during which faults are injected.
    pub(super) faulty_time: Duration,
    /// Most events of a run.
    pub(super) max_events: u64,
    /// Whether all other nodes lose power at the moment when a disk is lost.
    pub(super) loses_all_power: bool,
    pub(super) mistake: Option<SeededMistake>,
}

impl FaultSchedule {
    pub(super) fn from_seed(seed: u64, mistake: Option<SeededMistake>) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        Self {
            nodes: if random.random_bool(0.7) { 3 } else { 5 },
            loss_probability: random.random_range(0.0..0.1),
            duplication_probability: random.random_range(0.0..0.1),
            max_delay: Duration::from_millis(random.random_range(1..=30)),
            max_sync: Duration::from_millis(random.random_range(1..=10)),
            fault_gap: Duration::from_millis(random.random_range(40..=300)),
            proposal_gap: Duration::from_millis(random.random_range(5..=30)),
            snapshot_every: random.random_range(3..=40),
            trailing_entries: random.random_range(0..=5),
            segment_bytes: random.random_range(200..=4_000),
            loses_disks: random.random_bool(0.5),
            replaces: false,
            faulty_time: FAULTY_TIME,
            max_events: MAX_EVENTS,
            loses_all_power: false,
            mistake,
            random,
        }
    }

    /// A random time below `longest`.
    pub(super) fn time(&mut self, longest: Duration) -> Duration {
        longest.mul_f64(self.random.random_range(0.0..1.0))
    }

    pub(super) fn happens_with(&mut self, probability: f64) -> bool {
        self.random.random_bool(probability)
    }

    pub(super) fn node(&mut self) -> usize {
        self.random.random_range(0..self.nodes as usize)
    }
}
