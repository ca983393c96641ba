use std::cmp::Reverse;

use super::FlowIndex;
use crate::prelude::*;

/// A stage to be queued at its pool.
#[derive(Clone, Copy, Debug)]
pub struct QueueItem<'a> {
    /// Workspace that is charged for the stage.
    pub workspace: &'a str,
    /// Weight of the workspace in the shares of the pool; zero counts as one.
    pub weight: u32,
    /// Priority among the workspace's own stages, higher first; it doesn't
    /// affect other workspaces.
    pub priority: u8,
    /// Deadline of the request's answer.
    pub deadline: Instant,
    /// Time after which the request can no longer be answered in time.
    pub latest_start: Instant,
    /// Time after which the request is likely to be late; the stage then runs
    /// only if no other stage waits.
    pub likely_start: Instant,
    /// Expected endpoint time of the stage.
    pub cost: Duration,
    /// True if an earlier stage of the request has run. The queue's bounds apply
    /// only to new requests, so that work already done isn't wasted.
    pub started: bool,
}

/// Sort key of a stage among those of its own workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ItemOrder {
    /// Priority, higher first.
    pub priority: Reverse<u8>,
    /// Deadline, earliest first.
    pub deadline: Instant,
    /// Arrival number, unique in the queue.
    pub number: u64,
}

/// Identifies a waiting or running stage, with the cost it is charged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueTicket {
    pub(super) flow: FlowIndex,
    pub(super) order: ItemOrder,
    pub(super) cost: Duration,
}

impl QueueTicket {
    /// Arrival number of the stage, unique in its queue.
    pub fn number(&self) -> u64 {
        self.order.number
    }

    /// Expected endpoint time of the stage.
    pub fn cost(&self) -> Duration {
        self.cost
    }

    /// Deadline of the request's answer.
    pub fn deadline(&self) -> Instant {
        self.order.deadline
    }
}
