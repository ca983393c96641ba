use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;

use super::{
    NextStage, PoolCapacity, PoolSchedule, QueueItem, QueueRefusal, QueueStatus, QueueTicket,
    QueueWait, Result, StagePermit, UsageReport,
};
use crate::directory::EndpointRecord;
use crate::prelude::*;

/// Age at which a pool's capacity is counted again; a count for each stage
/// would take time in proportion to the number of endpoints.
const MAX_CAPACITY_AGE: Duration = Duration::from_millis(50);

type PermitSender = oneshot::Sender<Result<StagePermit>>;
type Grant = (Option<PermitSender>, Result<StagePermit>);

/// A pool's schedule, with the tasks that wait for permits to run their stages.
#[derive(Debug)]
pub struct PoolQueue {
    state: Mutex<PoolState>,
}

#[derive(Debug)]
struct PoolState {
    schedule: PoolSchedule,
    waiters: FastMap<u64, PermitSender>,
    capacity_at: Option<Instant>,
}

impl PoolQueue {
    /// Creates the queue of `pool`, in which at most `capacity` stages of new
    /// requests wait.
    pub fn new(pool: &str, capacity: usize) -> Self {
        let state = PoolState {
            schedule: PoolSchedule::new(pool, capacity),
            waiters: FastMap::default(),
            capacity_at: None,
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Updates the pool's capacity from its endpoint records if the known one
    /// is out of date, and starts the stages that it allows.
    pub fn observe(self: &Arc<Self>, now: Instant, records: &[Arc<EndpointRecord>]) {
        let grants = {
            let mut state = self.lock();
            let age = state
                .capacity_at
                .map(|at| now.saturating_duration_since(at));
            if age.is_some_and(|age| age < MAX_CAPACITY_AGE) {
                return;
            }
            state.capacity_at = Some(now);
            let capacity = PoolCapacity::from_records(now, records);
            state.schedule.set_capacity(capacity);
            if capacity.is_empty() {
                state.capacity_at = None;
            }
            self.take_grants(&mut state, now)
        };
        send_grants(grants);
    }

    /// Adds a stage to the queue, or refuses it at once if the queue is full or
    /// its workspace is over its share.
    pub fn enqueue(self: &Arc<Self>, now: Instant, item: &QueueItem<'_>) -> Result<QueueWait> {
        let (sender, receiver) = oneshot::channel();
        let (ticket, grants) = {
            let mut state = self.lock();
            let ticket = state.schedule.offer(item)?;
            state.waiters.insert(ticket.number(), sender);
            (ticket, self.take_grants(&mut state, now))
        };
        send_grants(grants);
        let pool = Arc::clone(self);
        Ok(QueueWait::new(pool, ticket, item.latest_start, receiver))
    }

    /// Expected wait of a stage that is added now.
    pub fn expected_wait(&self, now: Instant, item: &QueueItem<'_>) -> Duration {
        self.lock().schedule.expected_wait(now, item)
    }

    /// Sets the number of entries that take requests, this one included.
    pub fn set_entries(&self, entries: u32) {
        self.lock().schedule.limit_mut().set_entries(entries);
    }

    /// Returns and clears the endpoint time that workspaces used through this
    /// entry since the last call.
    pub fn drain_usage(&self) -> Vec<UsageReport> {
        self.lock().schedule.drain_usage()
    }

    /// Charges workspaces for endpoint time that they used through other
    /// entries; each report comes with the weight of its workspace.
    pub fn add_remote_usage<'a>(
        &self,
        now: Instant,
        reports: impl Iterator<Item = (&'a UsageReport, u32)>,
    ) {
        self.lock().schedule.add_remote_usage(now, reports);
    }

    /// Whether no stage waits or runs.
    pub fn is_idle(&self) -> bool {
        self.lock().schedule.is_idle()
    }

    /// Current state of the queue, for operators.
    pub fn status(&self, now: Instant) -> QueueStatus {
        self.lock().schedule.status(now)
    }

    /// Removes a stage that still waits; does nothing if it got its permit.
    pub(super) fn withdraw(&self, ticket: &QueueTicket) {
        let mut state = self.lock();
        if state.waiters.remove(&ticket.number()).is_some() {
            state.schedule.cancel(ticket);
        }
    }

    /// Ends a stage that started at `started`, and starts the next ones. Without
    /// `actual`, the time since `started` counts as its endpoint time.
    pub(super) fn release(
        self: &Arc<Self>,
        ticket: &QueueTicket,
        started: Instant,
        actual: Option<Duration>,
    ) {
        let now = monotonic_now();
        let service = now.saturating_duration_since(started);
        let grants = {
            let mut state = self.lock();
            let actual = actual.unwrap_or(service);
            state.schedule.release(now, ticket, service, actual);
            self.take_grants(&mut state, now)
        };
        send_grants(grants);
    }

    /// Takes all stages that the limit allows from the schedule. The caller
    /// sends the results after it has released the lock: a permit that is not
    /// received releases itself, which takes the lock again.
    fn take_grants(self: &Arc<Self>, state: &mut PoolState, now: Instant) -> Vec<Grant> {
        let mut grants = Vec::new();
        while let Some(turn) = state.schedule.next(now) {
            let (ticket, result) = match turn {
                NextStage::Run(ticket) => {
                    let permit = StagePermit::new(Arc::clone(self), ticket, now);
                    (ticket, Ok(permit))
                }
                NextStage::Expired(ticket) => (ticket, Err(QueueRefusal::Expired)),
            };
            grants.push((state.waiters.remove(&ticket.number()), result));
        }
        grants
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn send_grants(grants: Vec<Grant>) {
    for (waiter, result) in grants {
        // If the waiter was dropped, `send` returns the permit, and dropping it
        // releases it.
        drop(waiter.map(|waiter| waiter.send(result)));
    }
}

/// Current time of the runtime's clock, which tests can pause.
pub(crate) fn monotonic_now() -> Instant {
    tokio::time::Instant::now().into_std()
}

#[cfg(test)]
#[path = "pool_queue_tests.rs"]
mod tests;
