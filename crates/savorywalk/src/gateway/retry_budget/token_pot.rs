use super::TokenAmount;
use super::budget_times::BudgetTimes;
use super::spent_window::SpentWindow;
use crate::prelude::*;
use crate::registry::BootTime;

/// Tokens that expire soon after they were received. Of those that were received in a window at most
/// as many are spent in a somewhat longer time.
#[derive(Clone, Debug)]
pub(super) struct TokenPot {
    life: Duration,
    received: VecDeque<ReceivedSlice>,
    spent: SpentWindow,
}

#[derive(Clone, Copy, Debug)]
struct ReceivedSlice {
    began: BootTime,
    received: TokenAmount,
    /// Those that are neither spent nor drained.
    left: TokenAmount,
}

impl TokenPot {
    /// An empty pot of tokens that expire after `life`.
    pub(super) fn new(life: Duration) -> Self {
        Self {
            life,
            received: VecDeque::new(),
            spent: SpentWindow::default(),
        }
    }

    /// Adds tokens.
    pub(super) fn add(&mut self, now: BootTime, times: &BudgetTimes, amount: TokenAmount) {
        if amount.is_zero() {
            return;
        }
        self.expire(now, times);
        match self.received.back_mut() {
            Some(last) if now.since(last.began) < times.slice => {
                last.received = last.received.plus(amount);
                last.left = last.left.plus(amount);
            }
            Some(_) | None => self.received.push_back(ReceivedSlice {
                began: now,
                received: amount,
                left: amount,
            }),
        }
    }

    /// Spends up to `count` whole tokens, the oldest first, and returns how many.
    pub(super) fn take(&mut self, now: BootTime, times: &BudgetTimes, count: u32) -> u32 {
        let available = self.available(now, times).count_whole();
        let taken = available.min(count);
        if taken == 0 {
            return 0;
        }
        let mut rest = TokenAmount::whole(taken);
        self.spent.record(now, times.slice, rest);
        for slice in self.usable(now) {
            let part = slice.left.min(rest);
            slice.left = slice.left.minus(part);
            rest = rest.minus(part);
        }
        taken
    }

    /// Removes all tokens, for another holder.
    pub(super) fn drain(&mut self, now: BootTime) -> TokenAmount {
        let mut drained = TokenAmount::default();
        for slice in self.usable(now) {
            drained = drained.plus(slice.left);
            slice.received = slice.received.minus(slice.left);
            slice.left = TokenAmount::default();
        }
        drained
    }

    /// What may be spent now.
    pub(super) fn available(&mut self, now: BootTime, times: &BudgetTimes) -> TokenAmount {
        self.expire(now, times);
        let left: TokenAmount = self.usable(now).map(|slice| slice.left).sum();
        let received: TokenAmount = self.received.iter().map(|slice| slice.received).sum();
        left.min(received.minus(self.spent.sum(now, times.spent_time)))
    }

    /// Whether nothing was received or spent that still counts.
    pub(super) fn is_empty(&mut self, now: BootTime, times: &BudgetTimes) -> bool {
        self.expire(now, times);
        self.received.is_empty() && self.spent.sum(now, times.spent_time).is_zero()
    }

    fn usable(&mut self, now: BootTime) -> impl Iterator<Item = &mut ReceivedSlice> {
        let life = self.life;
        let slices = self.received.iter_mut();
        slices.filter(move |slice| now.since(slice.began) < life)
    }

    fn expire(&mut self, now: BootTime, times: &BudgetTimes) {
        let is_over = |first: &ReceivedSlice| now.since(first.began) >= times.window;
        while self.received.front().is_some_and(is_over) {
            self.received.pop_front();
        }
    }
}
