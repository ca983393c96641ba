use std::sync::{Mutex, MutexGuard, PoisonError};

use super::SendToken;
use super::pool_budget::PoolBudget;
use crate::gateway::RetryLimits;
use crate::prelude::*;
use crate::registry::{BootClock, BootTime};
use crate::transport::PeerName;

/// Longest time since the last tick for which this entry adopts a ledger: after a longer one it was
/// suspended, and the message may be old.
const MAX_TICK_AGE: Duration = Duration::from_secs(2);

/// The retry budgets of all pools at one entry.
#[derive(Debug)]
pub(in crate::gateway) struct RetryGate {
    limits: RetryLimits,
    state: Mutex<GateState>,
}

#[derive(Debug, Default)]
struct GateState {
    budgets: FastMap<String, PoolBudget>,
    /// Entries known to be of this version.
    current_entries: BTreeSet<PeerName>,
    ticked_at: Option<BootTime>,
}

impl RetryGate {
    pub(in crate::gateway) fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            state: Mutex::default(),
        }
    }

    /// Interval at which tokens are collected and the coordinator is confirmed.
    pub(in crate::gateway) fn tick_interval(&self) -> Duration {
        PoolBudget::tick_interval(self.limits)
    }

    /// Admits a request to a pool: returns the token of its first send, and counts what it earns.
    pub(in crate::gateway) fn admit(&self, pool: &str) -> SendToken {
        self.record_first(pool, 1);
        SendToken::counted()
    }

    /// Records the first sends of requests or pieces.
    pub(in crate::gateway) fn record_first(&self, pool: &str, count: u32) {
        self.with_budget(pool, |now, budget| budget.record_first(now, count));
    }

    /// Whether a retry is probably granted now.
    pub(in crate::gateway) fn may_retry(&self, pool: &str) -> bool {
        self.with_budget(pool, |now, budget| budget.may_retry(now))
    }

    /// Calls `act` with the current time and the budget of a pool.
    pub(in crate::gateway) fn with_budget<T>(
        &self,
        pool: &str,
        act: impl FnOnce(BootTime, &mut PoolBudget) -> T,
    ) -> T {
        let mut state = self.state();
        let now = BootClock.now();
        if let Some(budget) = state.budgets.get_mut(pool) {
            return act(now, budget);
        }
        let budget = PoolBudget::new(self.limits);
        act(now, state.budgets.entry(pool.to_string()).or_insert(budget))
    }

    /// Records an interval in which this entry was not suspended.
    pub(in crate::gateway) fn tick(&self) {
        self.state().ticked_at = Some(BootClock.now());
    }

    /// Whether a message from another entry is recent, as far as this entry can tell.
    pub(in crate::gateway) fn is_awake(&self) -> bool {
        let now = BootClock.now();
        let ticked_at = self.state().ticked_at;
        ticked_at.is_some_and(|at| now.since(at) <= MAX_TICK_AGE)
    }

    /// Number of pools whose extra part this entry grants.
    pub(in crate::gateway) fn count_settled(&self) -> usize {
        let now = BootClock.now();
        let state = self.state();
        let budgets = state.budgets.values();
        budgets.filter(|budget| budget.is_settled(now)).count()
    }

    /// Names of the pools with a budget, and of those that are `configured`. Budgets of others are
    /// forgotten once nothing in them counts.
    pub(in crate::gateway) fn pools<'a>(
        &self,
        configured: impl Iterator<Item = &'a str>,
    ) -> BTreeSet<String> {
        let now = BootClock.now();
        let mut pools: BTreeSet<String> = configured.map(String::from).collect();
        let mut state = self.state();
        state
            .budgets
            .retain(|pool, budget| pools.contains(pool) || !budget.is_idle(now));
        pools.extend(state.budgets.keys().cloned());
        pools
    }

    /// Records that an entry is of this version.
    pub(in crate::gateway) fn record_current(&self, entry: &PeerName) {
        self.state().current_entries.insert(entry.clone());
    }

    /// Number of `entries` that may be of an earlier version; forgets all others.
    pub(in crate::gateway) fn count_earlier(&self, entries: &[PeerName], own: &PeerName) -> usize {
        let mut state = self.state();
        let known = &mut state.current_entries;
        if known.len() > entries.len() {
            known.retain(|entry| entries.contains(entry));
        }
        let is_earlier = |entry: &&PeerName| *entry != own && !known.contains(*entry);
        entries.iter().filter(is_earlier).count()
    }

    fn state(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
