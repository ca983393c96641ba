use super::usage_meter::UsageMeter;
use super::{
    FairQueue, NextStage, PoolCapacity, PoolLimit, QueueItem, QueueStatus, QueueTicket, Result,
    UsageReport,
};
use crate::prelude::*;

/// A pool's queue, concurrency limit and usage; a state machine without a clock
/// or tasks.
#[derive(Debug)]
pub struct PoolSchedule {
    pool: String,
    queue: FairQueue,
    limit: PoolLimit,
    in_use: u32,
    usage: UsageMeter,
}

impl PoolSchedule {
    /// Creates the schedule of `pool`, in which at most `capacity` stages of new
    /// requests wait.
    pub fn new(pool: &str, capacity: usize) -> Self {
        Self {
            pool: pool.to_string(),
            queue: FairQueue::new(capacity),
            limit: PoolLimit::default(),
            in_use: 0,
            usage: UsageMeter::default(),
        }
    }

    /// The concurrency limit, to be updated from the directory and membership.
    pub fn limit_mut(&mut self) -> &mut PoolLimit {
        &mut self.limit
    }

    /// Sets the pool's capacity according to the directory.
    pub fn set_capacity(&mut self, capacity: PoolCapacity) {
        self.limit.set_capacity(capacity);
    }

    /// Adds a stage to the queue; [`Self::next`] returns it when it may run.
    /// Refused if the queue is full or its workspace is over its share.
    pub fn offer(&mut self, item: &QueueItem<'_>) -> Result<QueueTicket> {
        self.queue.offer(item)
    }

    /// Removes the next stage from the queue, unless the limit is reached.
    pub fn next(&mut self, now: Instant) -> Option<NextStage> {
        let slots = self.limit.slots(now);
        if slots.is_some_and(|slots| self.in_use >= slots) {
            return None;
        }
        let turn = self.queue.pop(now)?;
        if let NextStage::Run(ticket) = &turn {
            self.in_use += 1;
            if let Some(workspace) = self.queue.workspace(ticket) {
                self.usage.charge(workspace, ticket.cost());
            }
        }
        Some(turn)
    }

    /// Removes a waiting stage; false if it is no longer in the queue.
    pub fn cancel(&mut self, ticket: &QueueTicket) -> bool {
        self.queue.cancel(ticket)
    }

    /// Ends a stage that started `service` ago and took `actual` endpoint time.
    pub fn release(
        &mut self,
        now: Instant,
        ticket: &QueueTicket,
        service: Duration,
        actual: Duration,
    ) {
        if let Some(workspace) = self.queue.workspace(ticket) {
            self.usage.correct(workspace, ticket.cost(), actual);
        }
        self.queue.settle(ticket, actual);
        self.limit.record_service(now, service, self.in_use);
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Expected wait of a stage that is added now; zero while no endpoint takes
    /// work.
    pub fn expected_wait(&self, now: Instant, item: &QueueItem<'_>) -> Duration {
        match self.limit.slots(now) {
            Some(slots) => self.queue.expected_wait(item, slots),
            None => Duration::ZERO,
        }
    }

    /// Returns and clears the endpoint time that workspaces used through this
    /// entry since the last call.
    pub fn drain_usage(&mut self) -> Vec<UsageReport> {
        let drained = self.usage.drain();
        let reports = drained
            .into_iter()
            .map(|(workspace, endpoint_micros)| UsageReport {
                pool: self.pool.clone(),
                workspace: workspace.to_string(),
                endpoint_micros,
            });
        reports.collect()
    }

    /// Charges workspaces for endpoint time that they used at this pool through
    /// other entries; each report comes with the weight of its workspace.
    pub fn add_remote_usage<'a>(
        &mut self,
        now: Instant,
        reports: impl Iterator<Item = (&'a UsageReport, u32)>,
    ) {
        let slots = self.limit.slots(now).unwrap_or(1);
        let mut total = Duration::ZERO;
        let mut total_weight = 0_u32;
        for (report, weight) in reports {
            let cost = report.cost();
            self.queue
                .charge_remote(&report.workspace, weight, cost, slots);
            total += cost;
            total_weight = total_weight.saturating_add(weight);
        }
        if total_weight == 0 {
            return;
        }
        self.limit.add_remote(now, total);
        self.queue.advance_remote(total, total_weight);
    }

    /// Whether no stage waits or runs.
    pub fn is_idle(&self) -> bool {
        self.in_use == 0 && self.queue.queued() == 0
    }

    /// Current state of the schedule, for operators.
    pub fn status(&self, now: Instant) -> QueueStatus {
        QueueStatus {
            pool: self.pool.clone(),
            limit: self.limit.slots(now),
            in_use: self.in_use,
            queued: self.queue.queued(),
            workspaces_waiting: self.queue.backlogged_workspaces(),
            backlog_ms: self.queue.backlog().as_millis() as u64,
        }
    }
}

#[cfg(test)]
#[path = "pool_schedule_tests.rs"]
mod tests;
