use super::TokenAmount;
use super::budget_times::BudgetTimes;
use super::extra_ledger::ExtraLedger;
use super::spent_window::SpentSlice;
use super::token_pot::TokenPot;
use crate::gateway::RetryLimits;
use crate::prelude::*;
use crate::registry::BootTime;

/// Part of an equal part of the extra tokens that an entry of an earlier version grants itself.
const EARLIER_VERSION_PART: f64 = 0.6;

/// Shortest and longest time for which an entry does not ask again after a denial.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Shortest and longest interval between two ticks: of little cost, and shorter than the gap after
/// which a coordinator begins anew.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(50);
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(500);

/// Time after a denial for each request for tokens in the last interval: the more entries ask, the less
/// often each does.
const BACKOFF_PER_ASK: Duration = Duration::from_millis(1);

/// The retry tokens of one pool that an entry holds, as a state machine without I/O. See
/// docs/design/retry-budget.md.
#[derive(Clone, Debug)]
pub(in crate::gateway) struct PoolBudget {
    limits: RetryLimits,
    times: BudgetTimes,
    /// Tokens that requests at this entry have earned.
    earned: TokenPot,
    /// Tokens collected from other entries.
    collected: TokenPot,
    extra: ExtraLedger,
    /// Until when the coordinator is not asked again.
    backoff_until: Option<BootTime>,
    /// When tokens were last asked for, or collected.
    asked_at: Option<BootTime>,
    collected_at: Option<BootTime>,
    /// Requests for tokens in this interval between collections, and in the one before.
    asks: [u32; 2],
}

/// How the entries of a cluster use the extra part of a budget.
#[derive(Clone, Copy, Debug)]
pub(in crate::gateway) struct EntryCount {
    /// Entries known.
    pub(in crate::gateway) all: usize,
    /// Those that may be of an earlier version, which takes its part itself.
    pub(in crate::gateway) earlier: usize,
}

impl PoolBudget {
    /// A budget of which this entry holds nothing.
    pub(in crate::gateway) fn new(limits: RetryLimits) -> Self {
        let times = BudgetTimes::new(limits);
        Self {
            limits,
            times,
            earned: TokenPot::new(times.earned_life),
            collected: TokenPot::new(times.collected_life),
            extra: ExtraLedger::default(),
            backoff_until: None,
            asked_at: None,
            collected_at: None,
            asks: [0; 2],
        }
    }

    /// Interval at which a coordinator is confirmed and collects tokens; shorter than their life.
    pub(in crate::gateway) fn tick_interval(limits: RetryLimits) -> Duration {
        let interval = BudgetTimes::new(limits).collect_interval();
        interval.clamp(MIN_TICK_INTERVAL, MAX_TICK_INTERVAL)
    }

    /// Records the first sends of requests or pieces, which earn tokens.
    pub(in crate::gateway) fn record_first(&mut self, now: BootTime, count: u32) {
        let earned = TokenAmount::rounded_down(self.limits.share * f64::from(count));
        self.earned.add(now, &self.times, earned);
    }

    /// Takes up to `count` tokens that this entry has earned, and returns how many.
    pub(in crate::gateway) fn take_earned(&mut self, now: BootTime, count: u32) -> u32 {
        self.earned.take(now, &self.times, count)
    }

    /// Takes up to `count` tokens for an entry that asks this one: collected ones, own ones, then, if
    /// this entry is settled, those of the extra part.
    pub(in crate::gateway) fn grant(
        &mut self,
        now: BootTime,
        count: u32,
        entries: EntryCount,
    ) -> u32 {
        self.asked_at = Some(now);
        self.asks[0] = self.asks[0].saturating_add(1);
        let mut granted = self.collected.take(now, &self.times, count);
        granted += self.earned.take(now, &self.times, count - granted);
        let limit = self.extra_limit(entries);
        granted + self.extra.take(now, &self.times, limit, count - granted)
    }

    /// The extra part less what entries of earlier versions take.
    fn extra_limit(&self, entries: EntryCount) -> TokenAmount {
        let earlier = entries.earlier as f64 / entries.all.max(1) as f64;
        let left = 1.0 - EARLIER_VERSION_PART * earlier;
        TokenAmount::rounded_down(self.limits.extra * left)
    }

    /// Removes the tokens that this entry has earned, for the coordinator.
    pub(in crate::gateway) fn drain_earned(&mut self, now: BootTime) -> TokenAmount {
        self.earned.drain(now)
    }

    /// Adds tokens that other entries have earned.
    pub(in crate::gateway) fn add_collected(&mut self, now: BootTime, amount: TokenAmount) {
        self.collected.add(now, &self.times, amount);
    }

    /// Whether tokens are to be collected now, because they were asked for recently; if so, the next
    /// collection is due after an interval.
    pub(in crate::gateway) fn begin_collection(&mut self, now: BootTime) -> bool {
        let interval = self.times.collect_interval();
        let is_asked = |at: BootTime| now.since(at) < interval * 2;
        let is_due = |at: BootTime| now.since(at) >= interval;
        let begins = self.asked_at.is_some_and(is_asked) && self.collected_at.is_none_or(is_due);
        if begins {
            self.collected_at = Some(now);
            self.asks = [0, self.asks[0]];
        }
        begins
    }

    /// Time for which an entry that gets too few tokens asks no more: longer while many ask.
    pub(in crate::gateway) fn backoff_time(&self) -> Duration {
        let asks = self.asks[0].max(self.asks[1]);
        (BACKOFF_PER_ASK * asks).clamp(MIN_BACKOFF, MAX_BACKOFF)
    }

    /// Records that tokens were denied: the coordinator is not asked for `time`.
    pub(in crate::gateway) fn back_off(&mut self, now: BootTime, time: Duration) {
        let until = now.plus(time.clamp(MIN_BACKOFF, MAX_BACKOFF));
        self.backoff_until = self.backoff_until.max(Some(until));
    }

    /// Whether the coordinator may be asked.
    pub(in crate::gateway) fn may_ask(&self, now: BootTime) -> bool {
        self.backoff_until.is_none_or(|until| now >= until)
    }

    /// Whether a token is probably available: the coordinator may be asked, or one was earned.
    pub(in crate::gateway) fn may_retry(&mut self, now: BootTime) -> bool {
        self.may_ask(now) || self.earned.available(now, &self.times).count_whole() > 0
    }

    /// Records that a fresh view has this entry as the coordinator.
    pub(in crate::gateway) fn confirm(&mut self, now: BootTime) {
        self.extra.confirm(now, &self.times);
    }

    /// Ends this entry's time as coordinator, unless it adopted the ledger lately; returns the ledger
    /// for its successor if it was settled.
    pub(in crate::gateway) fn hand_over(&mut self, now: BootTime) -> Option<Vec<SpentSlice>> {
        match self.extra.awaits_confirmation(now, &self.times) {
            true => None,
            false => self.extra.hand_over(now, &self.times),
        }
    }

    /// Adopts the ledger of the previous coordinator.
    pub(in crate::gateway) fn adopt(
        &mut self,
        now: BootTime,
        spent: impl Iterator<Item = SpentSlice>,
    ) {
        self.extra.adopt(now, spent);
    }

    /// Whether nothing that counts is known of the pool.
    pub(in crate::gateway) fn is_idle(&mut self, now: BootTime) -> bool {
        let times = &self.times;
        let is_recent = |at: BootTime| now.since(at) < times.settling_time;
        self.earned.is_empty(now, times)
            && self.collected.is_empty(now, times)
            && !self.asked_at.is_some_and(is_recent)
    }

    /// Whether this entry grants from the extra part.
    pub(in crate::gateway) fn is_settled(&self, now: BootTime) -> bool {
        self.extra.is_settled(now, &self.times)
    }
}

#[cfg(test)]
#[path = "pool_budget_tests.rs"]
mod tests;
