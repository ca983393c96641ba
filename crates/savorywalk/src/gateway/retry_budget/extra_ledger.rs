use super::TokenAmount;
use super::budget_times::BudgetTimes;
use super::spent_window::{SpentSlice, SpentWindow};
use crate::registry::BootTime;

/// What a coordinator has granted from the part of a budget that no request earns, and whether it may
/// grant any.
///
/// It may once no other entry can have granted any that still counts: after it has been the coordinator
/// without a break for long enough, or with the ledger of its predecessor.
#[derive(Clone, Debug, Default)]
pub(super) struct ExtraLedger {
    spent: SpentWindow,
    tenure: Option<CoordinatorTenure>,
}

/// Time for which an entry is the coordinator without a break.
#[derive(Clone, Copy, Debug)]
struct CoordinatorTenure {
    /// From when on the entry is settled.
    settled_at: BootTime,
    /// When the entry was last confirmed, or waited for a confirmation.
    last: BootTime,
    /// When it adopted the ledger, until it is confirmed.
    adopted_at: Option<BootTime>,
}

impl ExtraLedger {
    /// Records that a fresh view has this entry as the coordinator.
    pub(super) fn confirm(&mut self, now: BootTime, times: &BudgetTimes) {
        let settled_at = match self.current(now, times) {
            Some(tenure) => tenure.settled_at,
            None => now.plus(times.settling_time),
        };
        self.tenure = Some(CoordinatorTenure {
            settled_at,
            last: now,
            adopted_at: None,
        });
    }

    /// Whether this entry may grant from the extra part.
    pub(super) fn is_settled(&self, now: BootTime, times: &BudgetTimes) -> bool {
        let tenure = self.current(now, times);
        tenure.is_some_and(|tenure| now >= tenure.settled_at)
    }

    /// Spends up to `count` tokens of `limit` in the window, and returns how many.
    pub(super) fn take(
        &mut self,
        now: BootTime,
        times: &BudgetTimes,
        limit: TokenAmount,
        count: u32,
    ) -> u32 {
        if !self.is_settled(now, times) {
            return 0;
        }
        let spent = self.spent.sum(now, times.spent_time);
        let taken = limit.minus(spent).count_whole().min(count);
        if taken > 0 {
            let amount = TokenAmount::whole(taken);
            self.spent.record(now, times.slice, amount);
        }
        taken
    }

    /// Ends this entry's tenure; returns what its successor must know, if it was settled.
    pub(super) fn hand_over(
        &mut self,
        now: BootTime,
        times: &BudgetTimes,
    ) -> Option<Vec<SpentSlice>> {
        let is_settled = self.is_settled(now, times);
        self.tenure = None;
        self.spent.sum(now, times.spent_time);
        is_settled.then(|| self.spent.slices().collect())
    }

    /// Adopts what the predecessor has granted, which makes this entry settled.
    pub(super) fn adopt(&mut self, now: BootTime, spent: impl Iterator<Item = SpentSlice>) {
        self.spent.merge(spent);
        self.tenure = Some(CoordinatorTenure {
            settled_at: now,
            last: now,
            adopted_at: Some(now),
        });
    }

    /// Whether the ledger was adopted lately, so that the own view may not show this entry as the
    /// coordinator yet. Called at each tick meanwhile.
    pub(super) fn awaits_confirmation(&mut self, now: BootTime, times: &BudgetTimes) -> bool {
        let Some(mut tenure) = self.current(now, times) else {
            return false;
        };
        let is_recent = |at: BootTime| now.since(at) < times.adoption_time;
        let awaits = tenure.adopted_at.is_some_and(is_recent);
        if awaits {
            tenure.last = now;
            self.tenure = Some(tenure);
        }
        awaits
    }

    fn current(&self, now: BootTime, times: &BudgetTimes) -> Option<CoordinatorTenure> {
        let is_unbroken =
            |tenure: &CoordinatorTenure| now.since(tenure.last) <= times.max_confirm_gap;
        self.tenure.filter(is_unbroken)
    }
}
