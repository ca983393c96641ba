use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use savorywalk::prelude::*;

use super::endpoint_switch::SilenceKind;

/// Steps of a series, and the time after each.
pub(super) const STEPS: usize = 28;
pub(super) const STEP_TIME: Duration = Duration::from_millis(500);

/// Silences of a series and pauses of single streams, in milliseconds: those that callers outlast,
/// and longer ones.
const SHORT_SILENCE_MS: std::ops::Range<u64> = 300..1_500;
const LONG_SILENCE_MS: std::ops::Range<u64> = 1_500..3_000;

/// Part of the steps of planned work at which engines fall silent, and most changes of such a step.
const SILENT_PART: f64 = 0.5;
const MAX_CHANGES: usize = 3;

/// Part of the silences that are longer ones, and of the changes after which engines are full.
const LONG_PART: f64 = 0.3;
const FULL_PART: f64 = 0.3;

/// Route timeouts and idle timeouts of a series, in milliseconds.
const ROUTE_TIMEOUT_MS: std::ops::Range<u64> = MIN_ROUTE_TIMEOUT_MS..15_000;
const IDLE_TIMEOUT_MS: std::ops::Range<u64> = 3_000..15_000;

/// Shortest route timeout of a series.
pub(super) const MIN_ROUTE_TIMEOUT_MS: u64 = 10_000;

/// Numbers of what a step may fall on.
#[derive(Clone, Copy, Debug)]
pub(super) struct StepScope {
    pub(super) engines: usize,
    pub(super) stages: usize,
    pub(super) registries: usize,
    pub(super) gateways: usize,
}

/// One change of a series. Gateways and registries are given by position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum SilenceStep {
    /// Engines are silent for a time, for good without one.
    SilenceEngines(Vec<usize>, SilenceKind, Option<Duration>),
    SilenceStage(usize, Duration),
    /// One stream of an engine pauses.
    Preempt(usize, Duration),
    /// Whether engines refuse new requests.
    FillEngines(bool),
    /// A document with this route timeout and this idle timeout, in milliseconds.
    Publish(u64, u64),
    Kill(usize),
    Stop(usize),
    Freeze(usize),
    /// Lets all frozen gateways go on.
    Thaw,
    /// Starts ended processes.
    Start,
    Reload(usize),
    LoseRegistry(usize, RegistryLoss),
    /// Ends all faults but the silences with a length, and starts ended processes.
    Heal,
}

/// How a registry is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RegistryLoss {
    Killed,
    Frozen,
}

impl SilenceStep {
    /// Draws a step.
    pub(super) fn draw(scope: StepScope, random: &mut ChaCha8Rng) -> Self {
        let engine = random.random_range(0..scope.engines);
        let gateway = random.random_range(0..scope.gateways);
        let registry = random.random_range(0..scope.registries);
        let range = match random.random_bool(LONG_PART) {
            true => LONG_SILENCE_MS,
            false => SHORT_SILENCE_MS,
        };
        let time = Duration::from_millis(random.random_range(range));
        match random.random_range(0..22) {
            0..3 => Self::SilenceEngines(vec![engine], draw_kind(random), Some(time)),
            3..5 => {
                let some = (0..scope.engines).filter(|_| random.random_bool(0.5));
                Self::SilenceEngines(some.collect(), SilenceKind::Calls, Some(time))
            }
            5..7 => {
                let all = (0..scope.engines).collect();
                Self::SilenceEngines(all, SilenceKind::Calls, Some(time))
            }
            7 => Self::SilenceEngines(vec![engine], draw_kind(random), None),
            8 => Self::SilenceStage(random.random_range(0..scope.stages), time),
            9..11 => Self::Preempt(engine, time),
            11..13 => Self::FillEngines(random.random_bool(FULL_PART)),
            13 => Self::Publish(
                random.random_range(ROUTE_TIMEOUT_MS),
                random.random_range(IDLE_TIMEOUT_MS),
            ),
            14 => Self::Kill(gateway),
            15 => Self::Stop(gateway),
            16 => Self::Freeze(gateway),
            17 => Self::Thaw,
            18 => Self::Reload(gateway),
            19 => {
                let loss = match random.random_bool(0.5) {
                    true => RegistryLoss::Killed,
                    false => RegistryLoss::Frozen,
                };
                Self::LoseRegistry(registry, loss)
            }
            _ => Self::Heal,
        }
    }
}

/// Draws changes that an operator plans, at once, and often a silence that callers outlast beside
/// them.
pub(super) fn draw_planned(scope: StepScope, random: &mut ChaCha8Rng) -> Vec<SilenceStep> {
    let mut steps = Vec::new();
    if random.random_bool(SILENT_PART) {
        let engine = random.random_range(0..scope.engines);
        let time = Duration::from_millis(random.random_range(SHORT_SILENCE_MS));
        steps.push(match random.random_range(0..4) {
            0 => SilenceStep::SilenceEngines(vec![engine], draw_kind(random), Some(time)),
            1 => {
                let some = (0..scope.engines).filter(|_| random.random_bool(0.5));
                SilenceStep::SilenceEngines(some.collect(), SilenceKind::Calls, Some(time))
            }
            2 => {
                let all = (0..scope.engines).collect();
                SilenceStep::SilenceEngines(all, SilenceKind::Calls, Some(time))
            }
            _ => SilenceStep::Preempt(engine, time),
        });
    }
    for _ in 0..random.random_range(1..=MAX_CHANGES) {
        let gateway = random.random_range(0..scope.gateways);
        steps.push(match random.random_range(0..8) {
            0 => SilenceStep::Stop(gateway),
            1..4 => SilenceStep::Reload(gateway),
            4..6 => SilenceStep::Publish(
                random.random_range(ROUTE_TIMEOUT_MS),
                random.random_range(IDLE_TIMEOUT_MS),
            ),
            _ => SilenceStep::Start,
        });
    }
    steps
}

fn draw_kind(random: &mut ChaCha8Rng) -> SilenceKind {
    match random.random_range(0..3) {
        0 => SilenceKind::Calls,
        1 => SilenceKind::Process,
        _ => SilenceKind::Path,
    }
}
