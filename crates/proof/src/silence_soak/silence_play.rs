use savorywalk::prelude::*;

/// Streams at each gateway, where engines need not be idle.
const STREAMS_PER_GATEWAY: usize = 12;

/// Most engines with a stream, where the others are to be idle.
const USED_ENGINES: usize = 2;

/// What goes wrong in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SilencePlay {
    /// All engines are silent for a second when the retry budget is used up.
    SpentBudget,
    /// All engines are silent for a second, and the endpoints of stages for longer.
    SilentStages,
    /// Most engines are silent for a second while all are full.
    FullEngines,
    /// One stream of each engine pauses for a second while all are full.
    PreemptedStreams,
    /// One stream of a gateway that is asked to stop pauses late in its stop time.
    StoppingGateway,
    /// One engine is silent for good, as if its process were suspended.
    LostEngine,
    /// The path to one engine is lost, without a reset.
    LostPath,
    /// All engines fall silent at once: those with streams for a second, the idle ones for longer
    /// than callers wait.
    IdleEngines,
    /// A drawn series of overlapping faults.
    Series,
    /// A drawn series of stops, starts, reloads and documents, several at once, beside silences that
    /// callers outlast.
    PlannedWork,
}

impl SilencePlay {
    /// All plays but the drawn ones.
    pub const FIXED: [Self; 8] = [
        Self::SpentBudget,
        Self::SilentStages,
        Self::FullEngines,
        Self::PreemptedStreams,
        Self::StoppingGateway,
        Self::LostEngine,
        Self::LostPath,
        Self::IdleEngines,
    ];

    /// Name on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            Self::SpentBudget => "spent-budget",
            Self::SilentStages => "silent-stages",
            Self::FullEngines => "full-engines",
            Self::PreemptedStreams => "preempted-streams",
            Self::StoppingGateway => "stopping-gateway",
            Self::LostEngine => "lost-engine",
            Self::LostPath => "lost-path",
            Self::IdleEngines => "idle-engines",
            Self::Series => "series",
            Self::PlannedWork => "planned-work",
        }
    }

    /// The play with a name; `None` if there is none.
    pub fn from_name(name: &str) -> Option<Self> {
        let drawn = [Self::Series, Self::PlannedWork];
        let mut plays = Self::FIXED.into_iter().chain(drawn);
        plays.find(|play| play.name() == name)
    }

    /// Whether the budget allows next to no retries; in drawn series every second seed.
    pub(super) fn has_spent_budget(self, seed: u64) -> bool {
        match self {
            Self::SpentBudget => true,
            Self::Series | Self::PlannedWork => seed.is_multiple_of(2),
            Self::SilentStages
            | Self::FullEngines
            | Self::PreemptedStreams
            | Self::StoppingGateway
            | Self::LostEngine
            | Self::LostPath
            | Self::IdleEngines => false,
        }
    }

    /// Whether faults are drawn, so that some streams may fail to be whole.
    pub(super) const fn is_drawn(self) -> bool {
        match self {
            Self::Series | Self::PlannedWork => true,
            Self::SpentBudget
            | Self::SilentStages
            | Self::FullEngines
            | Self::PreemptedStreams
            | Self::StoppingGateway
            | Self::LostEngine
            | Self::LostPath
            | Self::IdleEngines => false,
        }
    }

    /// Time within which gateways that are asked to stop end.
    pub(super) const fn stop_time(self) -> Duration {
        match self {
            Self::StoppingGateway => Duration::from_secs(8),
            Self::SpentBudget
            | Self::SilentStages
            | Self::FullEngines
            | Self::PreemptedStreams
            | Self::LostEngine
            | Self::LostPath
            | Self::IdleEngines
            | Self::Series
            | Self::PlannedWork => Duration::from_secs(6),
        }
    }

    /// Gateways that get streams in a fixed play, of the first ones.
    pub(super) fn used_gateways(self, gateways: usize) -> usize {
        match self {
            Self::StoppingGateway => 1,
            Self::IdleEngines => gateways.min(USED_ENGINES),
            Self::SpentBudget
            | Self::SilentStages
            | Self::FullEngines
            | Self::PreemptedStreams
            | Self::LostEngine
            | Self::LostPath
            | Self::Series
            | Self::PlannedWork => gateways,
        }
    }

    /// Streams at each of these gateways.
    pub(super) const fn streams_per_gateway(self) -> usize {
        match self {
            Self::IdleEngines => 1,
            Self::SpentBudget
            | Self::SilentStages
            | Self::FullEngines
            | Self::PreemptedStreams
            | Self::StoppingGateway
            | Self::LostEngine
            | Self::LostPath
            | Self::Series
            | Self::PlannedWork => STREAMS_PER_GATEWAY,
        }
    }
}
