use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use savorywalk_standin::{EndpointFault, PathFault, PathState};

/// Faults of one soak.
const SOAK_FAULTS: usize = 24;

/// Faults of a soak that may begin while one lasts.
const SOAK_OVERLAP: usize = 4;

/// How slow a slow endpoint is.
const SLOWNESS: f64 = 10.0;

/// One thing that goes wrong, or right again, during a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultStep {
    /// An entry's process is killed.
    KillEntry(usize),
    /// An entry that was killed or stopped is started again.
    StartEntry(usize),
    /// An entry is stopped as planned.
    StopEntry(usize),
    /// An endpoint misbehaves from now on, or is well again.
    SetEndpoint(usize, EndpointFault),
    /// The paths of an entry to all endpoints are lost from now on, or sound again.
    SetPaths(usize, PathState),
}

/// A step with the count of finished requests after which it is taken, so that
/// a script needs no clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimedStep {
    /// Finished requests before the step.
    pub after: usize,
    /// The step.
    pub step: FaultStep,
}

/// What goes wrong during a run, in order.
#[derive(Clone, Debug, Default)]
pub struct FaultScript {
    /// Steps, by ascending count.
    pub steps: Vec<TimedStep>,
    /// Whether callers send a booking again at another entry after a cut. An
    /// entry that is alone with its claims can't recognise it; a replicated
    /// claim can.
    pub resends_bookings: bool,
    /// Whether callers go on using an entry that stops until its process has ended.
    pub keeps_connections: bool,
}

impl FaultScript {
    /// A run without faults, to compare with.
    pub fn none() -> Self {
        Self::default()
    }

    /// Every entry is stopped as planned and started again, one at a time.
    pub fn rolling_restart(entries: usize, requests: usize) -> Self {
        let mut steps = Vec::new();
        for entry in 0..entries {
            let after = requests * (entry + 1) / (entries + 2);
            let timed = |step| TimedStep { after, step };
            steps.push(timed(FaultStep::StopEntry(entry)));
            steps.push(timed(FaultStep::StartEntry(entry)));
        }
        Self {
            steps,
            ..Self::default()
        }
    }

    /// Pairs of faults drawn from `seed`: each pair overlaps, then heals.
    pub fn pairs(
        seed: u64,
        entries: usize,
        endpoints: usize,
        requests: usize,
        pairs: usize,
    ) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut steps = Vec::new();
        for pair in 0..pairs {
            let begin = requests * (2 * pair + 1) / (2 * pairs + 2);
            let end = requests * (2 * pair + 2) / (2 * pairs + 2);
            for fault in [
                draw(&mut random, entries, endpoints),
                draw(&mut random, entries, endpoints),
            ] {
                steps.push(TimedStep {
                    after: begin,
                    step: fault,
                });
                steps.push(TimedStep {
                    after: end,
                    step: healed(fault),
                });
            }
        }
        steps.sort_by_key(|step| step.after);
        Self {
            steps,
            ..Self::default()
        }
    }

    /// Faults of all kinds in series, drawn from `seed`: each begins after the one before and
    /// lasts while up to four others begin, so that they overlap. The first entry is
    /// neither stopped nor killed, so that callers always find one.
    pub fn soak(seed: u64, entries: usize, endpoints: usize, requests: usize) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let count = SOAK_FAULTS.min(requests / 8);
        let mut steps = Vec::new();
        for number in 0..count {
            let begin = requests * (number + 1) / (count + SOAK_OVERLAP + 1);
            let length = random.random_range(1..=SOAK_OVERLAP);
            let end = requests * (number + 1 + length) / (count + SOAK_OVERLAP + 1);
            let step = draw_any(&mut random, entries, endpoints);
            steps.push(TimedStep { after: begin, step });
            steps.push(TimedStep {
                after: end,
                step: healed(step),
            });
        }
        steps.sort_by_key(|step| step.after);
        Self {
            steps,
            keeps_connections: true,
            ..Self::default()
        }
    }
}

fn draw_any(random: &mut ChaCha8Rng, entries: usize, endpoints: usize) -> FaultStep {
    let path_faults = [PathFault::Hang, PathFault::Reset, PathFault::Refuse];
    match random.random_range(0..4) {
        0 => FaultStep::StopEntry(random.random_range(1..entries)),
        1 => {
            let fault = path_faults.choose(random).copied();
            FaultStep::SetPaths(random.random_range(0..entries), fault)
        }
        _ => match draw(random, entries, endpoints) {
            FaultStep::KillEntry(0) => FaultStep::KillEntry(1),
            step => step,
        },
    }
}

fn draw(random: &mut ChaCha8Rng, entries: usize, endpoints: usize) -> FaultStep {
    if random.random_bool(0.25) {
        return FaultStep::KillEntry(random.random_range(0..entries));
    }
    let faults = [
        EndpointFault::Slow(SLOWNESS),
        EndpointFault::Refuse,
        EndpointFault::Fail,
        EndpointFault::Cut,
        EndpointFault::Unframed,
        EndpointFault::Silent,
        EndpointFault::Crossed,
    ];
    let fault = faults
        .choose(random)
        .copied()
        .unwrap_or(EndpointFault::Fail);
    FaultStep::SetEndpoint(random.random_range(0..endpoints), fault)
}

fn healed(step: FaultStep) -> FaultStep {
    match step {
        FaultStep::KillEntry(entry) | FaultStep::StopEntry(entry) => FaultStep::StartEntry(entry),
        FaultStep::StartEntry(entry) => FaultStep::KillEntry(entry),
        FaultStep::SetEndpoint(endpoint, _) => {
            FaultStep::SetEndpoint(endpoint, EndpointFault::None)
        }
        FaultStep::SetPaths(entry, _) => FaultStep::SetPaths(entry, None),
    }
}
