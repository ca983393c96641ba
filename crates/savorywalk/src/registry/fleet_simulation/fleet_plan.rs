use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::prelude::*;

/// Sizes, bounds and scheduled events of a run.
#[derive(Clone, Debug)]
pub(super) struct FleetPlan {
    pub(super) entries: usize,
    pub(super) registries: usize,
    pub(super) endpoints: usize,
    /// Registries that may be lost at once.
    pub(super) tolerance: usize,
    pub(super) length: Duration,
    /// Time within which a change must be in force.
    pub(super) in_force_bound: Duration,
    /// Time within which a retired endpoint must get no more work.
    pub(super) drain_bound: Duration,
    pub(super) changes: Vec<Duration>,
    pub(super) retirements: Vec<(Duration, usize)>,
    /// Time within which the endpoints of an evacuated data centre must get no more work.
    pub(super) evacuation_bound: Duration,
    /// Times at which the evacuation of a data centre begins (true) or ends.
    pub(super) evacuations: Vec<(Duration, usize, bool)>,
    /// Times at which an entry receives the request that crashes each endpoint that begins
    /// it.
    pub(super) resends: Vec<(Duration, usize)>,
    /// Times at which an entry receives a request with a prompt, and whether it crashes engines.
    pub(super) prompts: Vec<(Duration, bool)>,
    /// Seed of the entries, engines and parts of these requests.
    pub(super) prompt_seed: u64,
    /// Times at which engines crash at once by themselves, and how many.
    pub(super) engine_failures: Vec<(Duration, usize)>,
    pub(super) faults: Vec<(Duration, PlannedFault)>,
}

/// A fault with its duration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum PlannedFault {
    /// A registry stops and restarts without its state in memory.
    RegistryLost { registry: usize, time: Duration },
    /// An entry is restarted.
    EntryRestarted { entry: usize },
    /// Answers of a registry to an entry are lost.
    AnswersCut {
        registry: usize,
        entry: usize,
        time: Duration,
    },
}

impl FleetPlan {
    /// A run without faults or changes: endpoints only announce themselves.
    pub(super) fn without_faults(entries: usize, registries: usize, endpoints: usize) -> Self {
        Self {
            entries,
            registries,
            endpoints,
            tolerance: (registries - 1) / 4,
            length: Duration::from_secs(20),
            in_force_bound: Duration::from_secs(3),
            drain_bound: Duration::from_secs(3),
            changes: Vec::new(),
            retirements: Vec::new(),
            evacuation_bound: Duration::from_secs(5),
            evacuations: Vec::new(),
            resends: Vec::new(),
            prompts: Vec::new(),
            prompt_seed: 0,
            engine_failures: Vec::new(),
            faults: Vec::new(),
        }
    }

    /// Adds a crashing request that arrives at a random entry every `pause`.
    pub(super) fn with_resends(mut self, seed: u64, pause: Duration) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let first = Duration::from_secs(6);
        let count = (self.length - first).as_millis() / pause.as_millis();
        self.resends = (0..count as u32)
            .map(|index| (first + pause * index, random.random_range(0..self.entries)))
            .collect();
        self
    }

    /// Adds sound requests with prompts every `pause`, and crashing ones every `crashing_pause`.
    pub(super) fn with_prompts(
        mut self,
        seed: u64,
        pause: Duration,
        crashing_pause: Option<Duration>,
    ) -> Self {
        let first = Duration::from_secs(4);
        let times = |first: Duration, pause: Duration| {
            let count = (self.length - first).as_millis() / pause.as_millis();
            (0..count as u32).map(move |index| first + pause * index)
        };
        let sound = times(first, pause).map(|at| (at, false));
        let crashing = crashing_pause.map(|pause| times(first * 2, pause).map(|at| (at, true)));
        self.prompts = sound.chain(crashing.into_iter().flatten()).collect();
        self.prompt_seed = seed;
        self
    }

    /// Adds failures of one to three engines at once, every `pause`.
    pub(super) fn with_engine_failures(mut self, seed: u64, pause: Duration) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let first = Duration::from_secs(6);
        let count = (self.length - first).as_millis() / pause.as_millis();
        self.engine_failures = (0..count as u32)
            .map(|index| (first + pause * index, random.random_range(1..=3)))
            .collect();
        self
    }

    /// Adds evacuations: two data centres are evacuated for overlapping times, and the
    /// evacuation of a third one begins, ends and begins again.
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

    /// Adds bursts of changes, retirements, rolling restarts, losses of registries up to the
    /// tolerance and one-way cuts, drawn from `seed`.
    pub(super) fn with_random_faults(mut self, seed: u64) -> Self {
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
        let lost_at = moment(5_000, 10_000);
        let loss_time = moment(1_000, 5_000);
        let restart_at = moment(4_000, 8_000);
        self.length = Duration::from_secs(26);
        let first = random.random_range(0..self.registries);
        for index in 0..self.tolerance {
            let registry = (first + index) % self.registries;
            let time = loss_time;
            self.faults
                .push((lost_at, PlannedFault::RegistryLost { registry, time }));
        }
        for index in 0..self.entries / 4 {
            let fault = PlannedFault::EntryRestarted { entry: index * 4 };
            self.faults
                .push((restart_at + Duration::from_millis(60) * index as u32, fault));
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
            self.retirements
                .push((at, random.random_range(0..self.endpoints)));
        }
        self
    }
}
