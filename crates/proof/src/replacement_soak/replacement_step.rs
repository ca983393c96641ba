use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use savorywalk::prelude::*;

use super::answer_kind::AnswerKind;

/// How a control VM is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RemovalKind {
    /// Its process is killed.
    Killed,
    /// Its process is asked to stop.
    Stopped,
    /// Its successor starts first, and then its process is asked to stop.
    Planned,
}

/// Which control VM is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RemovalVictim {
    Leader,
    Oldest,
}

/// A removal and the time until the successor starts.
#[derive(Clone, Copy, Debug)]
pub(super) struct Removal {
    pub(super) kind: RemovalKind,
    pub(super) victim: RemovalVictim,
    pub(super) absence: Duration,
}

/// A fault or change beside the replacements.
#[derive(Clone, Copy, Debug)]
pub(super) enum SideStep {
    /// A gateway is killed.
    Kill(usize),
    /// A gateway is asked to stop.
    Stop(usize),
    /// A gateway is frozen until the next step.
    Freeze(usize),
    /// A gateway reads its settings again.
    Reload(usize),
    /// All gateways that have ended start again.
    Start,
    /// An endpoint answers without end, or in small pieces.
    Trouble(usize, AnswerKind),
    /// All endpoints answer properly.
    Recover,
    /// The next document is published.
    Publish,
}

impl Removal {
    pub(super) fn draw(random: &mut ChaCha8Rng) -> Self {
        let kind = match random.random_range(0..4) {
            0 | 1 => RemovalKind::Killed,
            2 => RemovalKind::Stopped,
            _ => RemovalKind::Planned,
        };
        let victim = match random.random_bool(0.6) {
            true => RemovalVictim::Leader,
            false => RemovalVictim::Oldest,
        };
        let absence_ms = match random.random_range(0..6) {
            0 => random.random_range(4_000..8_000),
            _ => random.random_range(200..2_000),
        };
        Self {
            kind,
            victim,
            absence: Duration::from_millis(absence_ms),
        }
    }
}

impl SideStep {
    pub(super) fn draw(random: &mut ChaCha8Rng, gateways: usize, endpoints: usize) -> Self {
        let gateway = random.random_range(0..gateways);
        match random.random_range(0..12) {
            0 => Self::Kill(gateway),
            1 | 2 => Self::Stop(gateway),
            3 => Self::Freeze(gateway),
            4 => Self::Reload(gateway),
            5 | 6 => Self::Start,
            7..=9 => Self::Trouble(
                random.random_range(0..endpoints),
                AnswerKind::ALL[random.random_range(0..AnswerKind::ALL.len())],
            ),
            10 => Self::Recover,
            _ => Self::Publish,
        }
    }
}
