use crate::gateway::RetryLimits;
use crate::prelude::*;

/// Slices of a window in which tokens are counted together.
const WINDOW_SLICES: u32 = 100;

/// Part of the window in which an entry may spend a token that it has earned, or have it collected.
const EARNED_LIFE_PART: u32 = 10;

/// Part of the window in which the coordinator may grant a token that it has collected.
const COLLECTED_LIFE_PART: u32 = 20;

/// Part of the window that counts beside it: the times of granting, sending and arriving differ.
const SLACK_PART: u32 = 20;

/// Time in which the entries' lists of each other may differ, and a view counts as fresh.
const LIST_TIME: Duration = Duration::from_secs(5);

/// Longest time for which an entry keeps a ledger that it adopted while its own view shows another
/// coordinator. An entry that differs by [`LIST_TIME`] can't be settled by then.
const MAX_ADOPTION_TIME: Duration = Duration::from_secs(8);

/// Longest time between two confirmations of a coordinator that is first without a break.
const MAX_CONFIRM_GAP: Duration = Duration::from_secs(2);

/// Times of a budget, which follow from its window. See docs/design/retry-budget.md.
#[derive(Clone, Copy, Debug)]
pub(super) struct BudgetTimes {
    pub(super) window: Duration,
    /// Length of a slice.
    pub(super) slice: Duration,
    pub(super) earned_life: Duration,
    pub(super) collected_life: Duration,
    /// Time for which a spent token counts.
    pub(super) spent_time: Duration,
    /// Time for which an entry must be the coordinator before it grants the extra part.
    pub(super) settling_time: Duration,
    pub(super) max_confirm_gap: Duration,
    /// Time for which an adopted ledger is kept without a confirmation.
    pub(super) adoption_time: Duration,
}

impl BudgetTimes {
    pub(super) fn new(limits: RetryLimits) -> Self {
        let window = limits.window;
        let spent_time = window + window / SLACK_PART;
        Self {
            window,
            slice: window / WINDOW_SLICES,
            earned_life: window / EARNED_LIFE_PART,
            collected_life: window / COLLECTED_LIFE_PART,
            spent_time,
            settling_time: spent_time + LIST_TIME,
            max_confirm_gap: MAX_CONFIRM_GAP,
            adoption_time: MAX_ADOPTION_TIME.min(window * 4 / 5),
        }
    }

    /// Interval at which the coordinator collects tokens; shorter than their life.
    pub(super) fn collect_interval(&self) -> Duration {
        self.collected_life
    }
}
