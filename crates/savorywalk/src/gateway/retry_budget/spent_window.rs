use super::TokenAmount;
use crate::prelude::*;
use crate::registry::BootTime;

/// Tokens that were spent, as long as they count.
#[derive(Clone, Debug, Default)]
pub(super) struct SpentWindow {
    slices: VecDeque<SpentSlice>,
}

/// Tokens that were spent within one slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) struct SpentSlice {
    /// The end of the slice, so that it never counts for too short a time.
    pub(in crate::gateway) at: BootTime,
    pub(in crate::gateway) amount: TokenAmount,
}

impl SpentWindow {
    /// Records tokens that are spent now, together with others of the same slice.
    pub(super) fn record(&mut self, now: BootTime, slice: Duration, amount: TokenAmount) {
        match self.slices.back_mut() {
            Some(last) if now <= last.at => last.amount = last.amount.plus(amount),
            Some(_) | None => self.slices.push_back(SpentSlice {
                at: now.plus(slice),
                amount,
            }),
        }
    }

    /// Sum of what was spent less than `time` ago.
    pub(super) fn sum(&mut self, now: BootTime, time: Duration) -> TokenAmount {
        while self
            .slices
            .front()
            .is_some_and(|first| now.since(first.at) >= time)
        {
            self.slices.pop_front();
        }
        self.slices.iter().map(|slice| slice.amount).sum()
    }

    pub(super) fn slices(&self) -> impl Iterator<Item = SpentSlice> {
        self.slices.iter().copied()
    }

    /// Adds what another entry has spent.
    pub(super) fn merge(&mut self, spent: impl Iterator<Item = SpentSlice>) {
        self.slices.extend(spent);
        self.slices.make_contiguous().sort_by_key(|slice| slice.at);
    }
}
