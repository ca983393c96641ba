use std::cmp::Reverse;

use super::flow_table::FlowTable;
use super::workspace_flow::WaitingItem;
use super::{FlowIndex, ItemOrder, QueueItem, QueueRefusal, QueueTicket, Result, VirtualTime};
use crate::prelude::*;

/// How far other entries' service may put a workspace behind, as time in which
/// this pool would serve that workspace alone. It bounds how long a late or
/// wrong report can keep a workspace waiting.
const DEBT_HORIZON: Duration = Duration::from_secs(5);

/// What a queue hands out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueTurn {
    /// The stage may run now.
    Run(QueueTicket),
    /// The stage can't end in time any more; it was dropped at no cost.
    Expired(QueueTicket),
}

/// Orders the stages that wait for one pool, without clock or tasks.
///
/// The backlogged workspace with the least endpoint time per weight goes next;
/// inside a workspace, priority and then the earliest deadline. A workspace is
/// charged its estimated cost at its turn and corrected by the actual one. One
/// that comes back from rest starts at the present virtual time, so that rest
/// saves up no burst.
#[derive(Debug)]
pub struct FairQueue {
    flows: FlowTable,
    backlogged: BTreeSet<(VirtualTime, FlowIndex)>,
    /// Workspaces at rest that are still ahead of the present; dropped as it
    /// reaches them.
    resting: BTreeSet<(VirtualTime, FlowIndex)>,
    present: VirtualTime,
    backlog: Duration,
    backlogged_weight: u64,
    queued: usize,
    capacity: usize,
    next_number: u64,
}

impl FairQueue {
    /// A queue in which at most `capacity` stages of new requests wait.
    pub fn new(capacity: usize) -> Self {
        Self {
            flows: FlowTable::default(),
            backlogged: BTreeSet::new(),
            resting: BTreeSet::new(),
            present: VirtualTime::default(),
            backlog: Duration::ZERO,
            backlogged_weight: 0,
            queued: 0,
            capacity,
            next_number: 0,
        }
    }

    /// Stages that wait.
    pub fn queued(&self) -> usize {
        self.queued
    }

    /// Endpoint time that the waiting stages are expected to take.
    pub fn backlog(&self) -> Duration {
        self.backlog
    }

    /// Workspaces with stages that wait.
    pub fn backlogged_workspaces(&self) -> usize {
        self.backlogged.len()
    }

    /// Workspaces that are held in memory.
    pub fn known_workspaces(&self) -> usize {
        self.flows.len()
    }

    /// Name of the workspace of a stage that waits or runs.
    pub fn workspace(&self, ticket: &QueueTicket) -> Option<&Arc<str>> {
        self.flows.get(ticket.flow).map(|flow| &flow.name)
    }

    /// Puts a stage into the queue.
    ///
    /// A workspace may hold its weight's part of the room that is left, after
    /// the dynamic thresholds of Choudhury and Hahne: so room remains for
    /// those who come later, and one workspace alone may still use half.
    pub fn offer(&mut self, item: &QueueItem<'_>) -> Result<QueueTicket> {
        if !item.started {
            self.check_bounds(item)?;
        }
        let flow = self.find_or_insert(item.workspace, item.weight);
        let order = self.order(item);
        let waiting = WaitingItem {
            cost: item.cost,
            latest_start: item.latest_start,
            likely_start: item.likely_start,
        };
        self.detach(flow);
        let present = self.present;
        if let Some(flow) = self.flows.get_mut(flow) {
            flow.weight = item.weight.max(1);
            if !flow.is_backlogged() {
                flow.virtual_time = flow.virtual_time.max(present);
            }
            flow.push(order, waiting);
        }
        self.attach(flow);
        self.queued += 1;
        self.backlog += item.cost;
        self.next_number += 1;
        Ok(QueueTicket {
            flow,
            order,
            cost: item.cost,
        })
    }

    /// Takes out the stage that goes next, and charges its workspace if it may
    /// still run.
    ///
    /// The earliest deadline first would give a busy pool to just those that
    /// are about to miss theirs; so one that is likely late gives way to the
    /// others that wait.
    pub fn pop(&mut self, now: Instant) -> Option<QueueTurn> {
        let (virtual_time, index) = *self.backlogged.first()?;
        self.detach(index);
        let flow = self.flows.get_mut(index)?;
        let (order, item) = flow.pop()?;
        let ticket = QueueTicket {
            flow: index,
            order,
            cost: item.cost,
        };
        let others_wait = self.queued > 1;
        let expired = now > item.latest_start || (others_wait && now > item.likely_start);
        if !expired {
            flow.running += 1;
            flow.virtual_time = virtual_time.plus(item.cost, flow.weight);
        }
        self.attach(index);
        self.queued -= 1;
        self.backlog = self.backlog.saturating_sub(item.cost);
        if expired {
            return Some(QueueTurn::Expired(ticket));
        }
        self.advance(virtual_time);
        Some(QueueTurn::Run(ticket))
    }

    /// Takes a waiting stage out; false when it waits no more.
    pub fn cancel(&mut self, ticket: &QueueTicket) -> bool {
        self.detach(ticket.flow);
        let flow = self.flows.get_mut(ticket.flow);
        let removed = flow.and_then(|flow| flow.remove(&ticket.order));
        self.attach(ticket.flow);
        let Some(item) = removed else { return false };
        self.queued -= 1;
        self.backlog = self.backlog.saturating_sub(item.cost);
        true
    }

    /// Ends a stage that had its turn, and corrects its workspace's account by
    /// the endpoint time that it took.
    pub fn settle(&mut self, ticket: &QueueTicket, actual: Duration) {
        self.detach(ticket.flow);
        if let Some(flow) = self.flows.get_mut(ticket.flow) {
            flow.running = flow.running.saturating_sub(1);
            flow.virtual_time = if actual >= ticket.cost {
                flow.virtual_time.plus(actual - ticket.cost, flow.weight)
            } else {
                flow.virtual_time.minus(ticket.cost - actual, flow.weight)
            };
        }
        self.attach(ticket.flow);
    }

    /// Charges a workspace for endpoint time that other entries gave it at
    /// this pool, which here serves `slots` stages at once.
    pub fn charge_remote(&mut self, workspace: &str, weight: u32, cost: Duration, slots: u32) {
        let index = self.find_or_insert(workspace, weight);
        self.detach(index);
        let present = self.present;
        if let Some(flow) = self.flows.get_mut(index) {
            let debt_limit = present.plus(DEBT_HORIZON * slots.max(1), flow.weight);
            if !flow.is_backlogged() {
                flow.virtual_time = flow.virtual_time.max(present);
            }
            let charged = flow.virtual_time.plus(cost, flow.weight);
            flow.virtual_time = charged.min(debt_limit).max(flow.virtual_time);
        }
        self.attach(index);
    }

    /// Moves the present on while nothing waits here, by service that other
    /// entries gave: `cost` in all to workspaces of `weight` together.
    pub fn pass_remote(&mut self, cost: Duration, weight: u32) {
        if self.backlogged.is_empty() {
            self.advance(self.present.plus(cost, weight));
        }
    }

    /// How long a stage would wait if it came now, while the pool serves
    /// `slots` stages at once.
    ///
    /// Its turn comes when the present reaches its virtual time; but never
    /// later than when all that waits has had its turn.
    pub fn wait(&self, item: &QueueItem<'_>, slots: u32) -> Duration {
        if self.queued == 0 {
            return Duration::ZERO;
        }
        let slots = slots.max(1);
        let everything = self.backlog / slots;
        let weight = item.weight.max(1);
        let flow = self.flows.find(item.workspace);
        let flow = flow.and_then(|index| self.flows.get(index));
        let (ahead, own_weight, before) = match flow {
            Some(flow) => {
                let own_weight = if flow.is_backlogged() { flow.weight } else { 0 };
                let ahead = flow.virtual_time.since(self.present);
                (ahead, own_weight, flow.backlog_before(&self.order(item)))
            }
            None => (Duration::ZERO, 0, Duration::ZERO),
        };
        let competing = self.backlogged_weight - u64::from(own_weight) + u64::from(weight);
        let per_weight = ahead + before / weight;
        let turn = per_weight.mul_f64(competing as f64 / f64::from(slots));
        turn.min(everything)
    }

    fn check_bounds(&self, item: &QueueItem<'_>) -> Result<()> {
        if self.queued >= self.capacity {
            return Err(QueueRefusal::Full);
        }
        let Some(index) = self.flows.find(item.workspace) else {
            return Ok(());
        };
        let Some(flow) = self.flows.get(index) else {
            return Ok(());
        };
        if !flow.is_backlogged() {
            return Ok(());
        }
        let room = (self.capacity - self.queued) as u64;
        let allowed = room * u64::from(flow.weight) / self.backlogged_weight.max(1);
        if flow.items.len() as u64 >= allowed.max(1) {
            return Err(QueueRefusal::OverShare);
        }
        Ok(())
    }

    fn order(&self, item: &QueueItem<'_>) -> ItemOrder {
        ItemOrder {
            priority: Reverse(item.priority),
            deadline: item.deadline,
            number: self.next_number,
        }
    }

    fn find_or_insert(&mut self, workspace: &str, weight: u32) -> FlowIndex {
        if let Some(index) = self.flows.find(workspace) {
            return index;
        }
        let index = self.flows.insert(workspace, weight.max(1), self.present);
        self.resting.insert((self.present, index));
        index
    }

    /// Takes a workspace out of the tree that holds it, before it changes.
    fn detach(&mut self, index: FlowIndex) {
        let Some(flow) = self.flows.get(index) else {
            return;
        };
        let key = (flow.virtual_time, index);
        if self.backlogged.remove(&key) {
            self.backlogged_weight -= u64::from(flow.weight);
        }
        self.resting.remove(&key);
    }

    /// Puts a workspace into the tree where it belongs, or forgets it.
    fn attach(&mut self, index: FlowIndex) {
        let Some(flow) = self.flows.get(index) else {
            return;
        };
        let key = (flow.virtual_time, index);
        if flow.is_backlogged() {
            self.backlogged_weight += u64::from(flow.weight);
            self.backlogged.insert(key);
            return;
        }
        if !flow.is_resting() {
            return;
        }
        if flow.virtual_time <= self.present {
            self.flows.remove(index);
            return;
        }
        self.resting.insert(key);
    }

    fn advance(&mut self, present: VirtualTime) {
        self.present = self.present.max(present);
        while let Some((virtual_time, index)) = self.resting.first().copied() {
            if virtual_time > self.present {
                return;
            }
            self.resting.pop_first();
            self.flows.remove(index);
        }
    }
}

#[cfg(test)]
#[path = "fair_queue_tests.rs"]
mod tests;
