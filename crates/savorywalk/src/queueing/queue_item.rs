use std::cmp::Reverse;

use super::FlowIndex;
use crate::prelude::*;

/// A stage that asks for a turn at its pool.
#[derive(Clone, Copy, Debug)]
pub struct QueueItem<'a> {
    /// Workspace that pays.
    pub workspace: &'a str,
    /// Weight of the workspace's share.
    pub weight: u32,
    /// Rank among the workspace's own stages, higher first; it counts only
    /// inside the workspace's share.
    pub priority: u8,
    /// When the request must be answered.
    pub deadline: Instant,
    /// After this moment the request can't be answered in time any more.
    pub latest_start: Instant,
    /// After this moment the request is likely to be late; the stage then runs
    /// only when no other one waits for the place.
    pub likely_start: Instant,
    /// Endpoint time that the stage is expected to take.
    pub cost: Duration,
    /// True when an earlier stage has run: its cost is spent, so the bounds of
    /// the queue, which are for new work, don't refuse it.
    pub started: bool,
}

/// Place of a stage among those of its own workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ItemOrder {
    /// Higher priority first.
    pub priority: Reverse<u8>,
    /// Then the earliest deadline.
    pub deadline: Instant,
    /// Then first come, first served; unique in the queue.
    pub number: u64,
}

/// Names a stage that waits or runs, and what it was charged for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueTicket {
    pub(super) flow: FlowIndex,
    pub(super) order: ItemOrder,
    pub(super) cost: Duration,
}

impl QueueTicket {
    /// Number of the stage, unique in its queue.
    pub fn number(&self) -> u64 {
        self.order.number
    }

    /// Endpoint time that it was expected to take.
    pub fn cost(&self) -> Duration {
        self.cost
    }

    /// When its request must be answered.
    pub fn deadline(&self) -> Instant {
        self.order.deadline
    }
}
