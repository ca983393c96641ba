use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::prelude::*;

/// What a run plays.
#[derive(Clone, Debug)]
pub(super) struct FleetPlan {
    pub(super) entries: usize,
    pub(super) registries: usize,
    pub(super) endpoints: usize,
    /// Registries that may be lost at once.
    pub(super) tolerance: usize,
    pub(super) length: Duration,
    /// Time after which a change must be in force.
    pub(super) in_force: Duration,
    /// Time after which an endpoint that leaves must get no work.
    pub(super) drain: Duration,
    pub(super) changes: Vec<Duration>,
    pub(super) leavers: Vec<(Duration, usize)>,
    /// Time after which the endpoints of an evacuated data centre must get no work.
    pub(super) evacuate: Duration,
    /// Data centres whose evacuation begins (true) or ends.
    pub(super) evacuations: Vec<(Duration, usize, bool)>,
    /// Entries to which a request comes that takes down each endpoint that begins it.
    pub(super) resends: Vec<(Duration, usize)>,
    pub(super) faults: Vec<(Duration, PlannedFault)>,
}

/// One fault, for a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum PlannedFault {
    /// A registry stops and comes back without what it had in memory.
    RegistryLost { registry: usize, time: Duration },
    /// An entry is restarted.
    EntryRestarted { entry: usize },
    /// What a registry sends to an entry does not arrive.
    AnswersCut {
        registry: usize,
        entry: usize,
        time: Duration,
    },
}

impl FleetPlan {
    /// A calm run: endpoints announce themselves, nothing else happens.
    pub(super) fn calm(entries: usize, registries: usize, endpoints: usize) -> Self {
        Self {
            entries,
            registries,
            endpoints,
            tolerance: (registries - 1) / 4,
            length: Duration::from_secs(20),
            in_force: Duration::from_secs(3),
            drain: Duration::from_secs(3),
            changes: Vec::new(),
            leavers: Vec::new(),
            evacuate: Duration::from_secs(5),
            evacuations: Vec::new(),
            resends: Vec::new(),
            faults: Vec::new(),
        }
    }

    /// The same with a deadly request that comes to a drawn entry all `pause`.
    pub(super) fn with_resends(mut self, seed: u64, pause: Duration) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let first = Duration::from_secs(6);
        let count = (self.length - first).as_millis() / pause.as_millis();
        self.resends = (0..count as u32)
            .map(|place| (first + pause * place, random.random_range(0..self.entries)))
            .collect();
        self
    }

    /// The same with two data centres that are evacuated one after the other, for times
    /// that overlap, and one whose evacuation begins, ends and begins again.
    pub(super) fn with_evacuations(mut self, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut moment =
            |from_ms: u64, to_ms: u64| Duration::from_millis(random.random_range(from_ms..to_ms));
        self.evacuations = vec![
            (moment(2_000, 6_000), 0, true),
            (moment(5_000, 8_000), 1, true),
            (moment(9_000, 12_000), 0, false),
            (moment(15_000, 16_000), 1, false),
            (moment(4_000, 5_000), 2, true),
            (moment(5_000, 6_000), 2, false),
            (moment(6_000, 7_000), 2, true),
        ];
        self
    }

    /// The same with changes in bursts, leaving endpoints, rolling restarts, losses up
    /// to the tolerance and one-way cuts, drawn from `seed`.
    pub(super) fn drawn(mut self, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut moment =
            |from_ms: u64, to_ms: u64| Duration::from_millis(random.random_range(from_ms..to_ms));
        let burst = moment(6_000, 9_000);
        self.changes = (0..30)
            .map(|change| burst + change * Duration::from_millis(40))
            .collect();
        self.changes.extend((0..4).map(|_| moment(2_000, 16_000)));
        let after = moment(20_500, 21_500);
        self.changes
            .extend((0..10).map(|change| after + change * Duration::from_millis(100)));
        let loss = moment(5_000, 10_000);
        let loss_time = moment(1_000, 5_000);
        let roll = moment(4_000, 8_000);
        self.length = Duration::from_secs(26);
        let first = random.random_range(0..self.registries);
        for place in 0..self.tolerance {
            let registry = (first + place) % self.registries;
            let time = loss_time;
            self.faults
                .push((loss, PlannedFault::RegistryLost { registry, time }));
        }
        for place in 0..self.entries / 4 {
            let fault = PlannedFault::EntryRestarted { entry: place * 4 };
            self.faults
                .push((roll + Duration::from_millis(60) * place as u32, fault));
        }
        for _ in 0..self.entries / 10 {
            let cut = PlannedFault::AnswersCut {
                registry: random.random_range(0..self.registries),
                entry: random.random_range(0..self.entries),
                time: Duration::from_millis(random.random_range(500..4_000)),
            };
            let at = Duration::from_millis(random.random_range(4_000..14_000));
            self.faults.push((at, cut));
        }
        for _ in 0..self.endpoints / 10 {
            let at = Duration::from_millis(random.random_range(4_000..16_000));
            self.leavers
                .push((at, random.random_range(0..self.endpoints)));
        }
        self
    }
}
