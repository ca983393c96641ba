use std::sync::{Mutex, MutexGuard, PoisonError};

use super::{
    ClaimBatch, ClaimCall, ClaimDecision, ClaimKey, ClaimLimits, ClaimOutcome, ClaimOwner,
    ClaimStep, ClaimTable, DEFAULT_RETENTION, EntryLease,
};
use crate::control::{ControlError, Result, StampClock};

/// Claims of a single entry, in its memory alone: they tell its own resends
/// apart, know nothing of other entries and end with the process.
#[derive(Debug)]
pub struct LocalClaims {
    owner: ClaimOwner,
    clock: StampClock,
    table: Mutex<ClaimTable>,
}

impl LocalClaims {
    /// An empty table of the entry named `entry`.
    pub fn new(entry: &str) -> Self {
        Self {
            owner: ClaimOwner {
                entry: entry.into(),
                incarnation: 1,
            },
            clock: StampClock::default(),
            table: Mutex::new(ClaimTable::new(ClaimLimits::default())),
        }
    }

    pub(super) fn owner(&self) -> &ClaimOwner {
        &self.owner
    }

    pub(super) fn call(&self, step: ClaimStep) -> Result<ClaimDecision> {
        let now_ms = self.clock.now_ms();
        let call = ClaimCall { call: Some(step) };
        let batch = ClaimBatch {
            shard: 0,
            calls: vec![call],
        };
        let mut table = self.lock();
        table.renew(now_ms, self.lease());
        let mut outcome = table.apply(now_ms, DEFAULT_RETENTION, batch);
        decided(outcome.outcomes.pop())
    }

    pub(super) fn look_up(&self, key: &ClaimKey) -> Result<ClaimDecision> {
        let now_ms = self.clock.now_ms();
        let mut table = self.lock();
        table.renew(now_ms, self.lease());
        decided(Some(table.look_up(now_ms, key)))
    }

    /// A process that asks is alive.
    fn lease(&self) -> EntryLease {
        EntryLease {
            owner: Some(self.owner.clone()),
            lease_ms: u32::MAX,
        }
    }

    fn lock(&self) -> MutexGuard<'_, ClaimTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The decision in an outcome.
pub(super) fn decided(outcome: Option<ClaimOutcome>) -> Result<ClaimDecision> {
    let decision = outcome.and_then(|outcome| outcome.outcome);
    decision.ok_or_else(|| ControlError::UnexpectedAnswer("a claim without outcome".into()))
}
