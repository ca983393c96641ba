use std::cmp::Reverse;

use super::flow_table::FlowTable;
use super::workspace_flow::WaitingItem;
use super::{FlowIndex, ItemOrder, QueueItem, QueueRefusal, QueueTicket, Result, VirtualTime};
use crate::prelude::*;

/// Maximum debt that usage reports of other entries can add to a workspace, as
/// time in which this pool would serve that workspace alone. It bounds how long
/// a late or wrong report can delay a workspace.
const MAX_DEBT: Duration = Duration::from_secs(5);

/// The next stage of a queue, and whether it may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStage {
    /// The stage may run now.
    Run(QueueTicket),
    /// The stage can't finish in time, or probably can't while others wait. It
    /// was removed, and its workspace was not charged.
    Expired(QueueTicket),
}

/// Weighted fair queue of the stages that wait for one pool; a state machine
/// without a clock or tasks.
///
/// The backlogged workspace with the least endpoint time per weight is served
/// next; within a workspace, stages are ordered by priority, then by deadline.
/// A workspace is charged the estimated cost when its stage starts, and the
/// charge is corrected when the stage ends. An idle workspace restarts at the
/// queue's virtual time, so idle time earns no burst.
#[derive(Debug)]
pub struct FairQueue {
    flows: FlowTable,
    backlogged: BTreeSet<(VirtualTime, FlowIndex)>,
    /// Workspaces without stages whose virtual time is still ahead of
    /// `virtual_now`; removed once it reaches them.
    idle: BTreeSet<(VirtualTime, FlowIndex)>,
    /// Virtual time that the queue has reached; idle workspaces restart here.
    virtual_now: VirtualTime,
    backlog: Duration,
    backlogged_weight: u64,
    queued: usize,
    capacity: usize,
    next_number: u64,
}

impl FairQueue {
    /// Creates a queue in which at most `capacity` stages of new requests wait.
    pub fn new(capacity: usize) -> Self {
        Self {
            flows: FlowTable::default(),
            backlogged: BTreeSet::new(),
            idle: BTreeSet::new(),
            virtual_now: VirtualTime::default(),
            backlog: Duration::ZERO,
            backlogged_weight: 0,
            queued: 0,
            capacity,
            next_number: 0,
        }
    }

    /// Number of waiting stages.
    pub fn queued(&self) -> usize {
        self.queued
    }

    /// Expected endpoint time of all waiting stages.
    pub fn backlog(&self) -> Duration {
        self.backlog
    }

    /// Number of workspaces with waiting stages.
    pub fn backlogged_workspaces(&self) -> usize {
        self.backlogged.len()
    }

    /// Number of workspaces held in memory, idle ones included.
    pub fn known_workspaces(&self) -> usize {
        self.flows.len()
    }

    /// Name of the workspace of a waiting or running stage.
    pub fn workspace(&self, ticket: &QueueTicket) -> Option<&Arc<str>> {
        self.flows.get(ticket.flow).map(|flow| &flow.name)
    }

    /// Adds a stage to the queue, or refuses a new request's stage if the queue
    /// is full or its workspace is over its share.
    ///
    /// A workspace may have its weighted share of the free capacity waiting
    /// (the dynamic thresholds of Choudhury and Hahne). This keeps capacity for
    /// workspaces that arrive later, and a single one can still fill half of
    /// the queue.
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
        let virtual_now = self.virtual_now;
        if let Some(flow) = self.flows.get_mut(flow) {
            flow.weight = item.weight.max(1);
            if !flow.is_backlogged() {
                flow.virtual_time = flow.virtual_time.max(virtual_now);
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

    /// Removes the next stage, and charges its workspace if the stage may run.
    ///
    /// Earliest deadline first alone would spend a busy pool on stages that are
    /// about to miss their deadlines. A stage that is probably late is therefore
    /// dropped when others wait.
    pub fn pop(&mut self, now: Instant) -> Option<NextStage> {
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
            return Some(NextStage::Expired(ticket));
        }
        self.advance(virtual_time);
        Some(NextStage::Run(ticket))
    }

    /// Removes a waiting stage; false if it is no longer in the queue.
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

    /// Ends a running stage, and corrects the charge of its workspace to the
    /// `actual` endpoint time.
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

    /// Charges a workspace for endpoint time that it used at this pool through
    /// other entries; `slots` is the number of stages that this entry may run
    /// at once.
    pub fn charge_remote(&mut self, workspace: &str, weight: u32, cost: Duration, slots: u32) {
        let index = self.find_or_insert(workspace, weight);
        self.detach(index);
        let virtual_now = self.virtual_now;
        if let Some(flow) = self.flows.get_mut(index) {
            let debt_limit = virtual_now.plus(MAX_DEBT * slots.max(1), flow.weight);
            if !flow.is_backlogged() {
                flow.virtual_time = flow.virtual_time.max(virtual_now);
            }
            let charged = flow.virtual_time.plus(cost, flow.weight);
            flow.virtual_time = charged.min(debt_limit).max(flow.virtual_time);
        }
        self.attach(index);
    }

    /// Advances the virtual time by the service of other entries while no stage
    /// waits here: `cost` in total, to workspaces with `weight` in total.
    pub fn advance_remote(&mut self, cost: Duration, weight: u32) {
        if self.backlogged.is_empty() {
            self.advance(self.virtual_now.plus(cost, weight));
        }
    }

    /// Expected wait of a stage that is added now, while the pool runs `slots`
    /// stages at once.
    ///
    /// The stage starts when the queue's virtual time reaches that of the stage,
    /// and at the latest when the whole backlog has been served.
    pub fn expected_wait(&self, item: &QueueItem<'_>, slots: u32) -> Duration {
        if self.queued == 0 {
            return Duration::ZERO;
        }
        let slots = slots.max(1);
        let whole_backlog = self.backlog / slots;
        let weight = item.weight.max(1);
        let flow = self.flows.find(item.workspace);
        let flow = flow.and_then(|index| self.flows.get(index));
        let (lead, own_weight, earlier_backlog) = match flow {
            Some(flow) => {
                let own_weight = if flow.is_backlogged() { flow.weight } else { 0 };
                let lead = flow.virtual_time.since(self.virtual_now);
                (lead, own_weight, flow.backlog_before(&self.order(item)))
            }
            None => (Duration::ZERO, 0, Duration::ZERO),
        };
        let competing = self.backlogged_weight - u64::from(own_weight) + u64::from(weight);
        let per_weight = lead + earlier_backlog / weight;
        let own_wait = per_weight.mul_f64(competing as f64 / f64::from(slots));
        own_wait.min(whole_backlog)
    }

    /// Checks the queue's capacity and the workspace's share of it.
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
        let index = self
            .flows
            .insert(workspace, weight.max(1), self.virtual_now);
        self.idle.insert((self.virtual_now, index));
        index
    }

    /// Removes a workspace from the tree that holds it, before its virtual time
    /// or weight changes.
    fn detach(&mut self, index: FlowIndex) {
        let Some(flow) = self.flows.get(index) else {
            return;
        };
        let key = (flow.virtual_time, index);
        if self.backlogged.remove(&key) {
            self.backlogged_weight -= u64::from(flow.weight);
        }
        self.idle.remove(&key);
    }

    /// Inserts a workspace into the tree for its state, or removes it from
    /// memory if it is idle and not ahead of the queue's virtual time.
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
        if !flow.is_idle() {
            return;
        }
        if flow.virtual_time <= self.virtual_now {
            self.flows.remove(index);
            return;
        }
        self.idle.insert(key);
    }

    /// Advances the virtual time and removes idle workspaces that it reached.
    fn advance(&mut self, virtual_now: VirtualTime) {
        self.virtual_now = self.virtual_now.max(virtual_now);
        while let Some((virtual_time, index)) = self.idle.first().copied() {
            if virtual_time > self.virtual_now {
                return;
            }
            self.idle.pop_first();
            self.flows.remove(index);
        }
    }
}

#[cfg(test)]
#[path = "fair_queue_tests.rs"]
mod tests;
