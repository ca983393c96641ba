use super::{ItemOrder, VirtualTime};
use crate::prelude::*;

/// The stages of one workspace that wait or run at a pool.
#[derive(Debug)]
pub(super) struct WorkspaceFlow {
    pub name: Arc<str>,
    pub weight: u32,
    pub virtual_time: VirtualTime,
    /// Waiting stages in the order in which they run.
    pub items: BTreeMap<ItemOrder, WaitingItem>,
    /// Expected endpoint time of all waiting stages.
    pub backlog: Duration,
    /// Number of running stages.
    pub running: u32,
}

/// A waiting stage; see [`super::QueueItem`] for its fields.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingItem {
    pub cost: Duration,
    pub latest_start: Instant,
    pub likely_start: Instant,
}

impl WorkspaceFlow {
    pub(super) fn new(name: Arc<str>, weight: u32, virtual_time: VirtualTime) -> Self {
        Self {
            name,
            weight,
            virtual_time,
            items: BTreeMap::new(),
            backlog: Duration::ZERO,
            running: 0,
        }
    }

    pub(super) fn is_backlogged(&self) -> bool {
        !self.items.is_empty()
    }

    /// Whether no stage of the workspace waits or runs.
    pub(super) fn is_idle(&self) -> bool {
        self.items.is_empty() && self.running == 0
    }

    pub(super) fn push(&mut self, order: ItemOrder, item: WaitingItem) {
        self.items.insert(order, item);
        self.backlog += item.cost;
    }

    pub(super) fn pop(&mut self) -> Option<(ItemOrder, WaitingItem)> {
        let (order, item) = self.items.pop_first()?;
        self.backlog = self.backlog.saturating_sub(item.cost);
        Some((order, item))
    }

    pub(super) fn remove(&mut self, order: &ItemOrder) -> Option<WaitingItem> {
        let item = self.items.remove(order)?;
        self.backlog = self.backlog.saturating_sub(item.cost);
        Some(item)
    }

    /// Expected endpoint time of the waiting stages before `order`.
    pub(super) fn backlog_before(&self, order: &ItemOrder) -> Duration {
        let Some((last, _)) = self.items.last_key_value() else {
            return Duration::ZERO;
        };
        if last < order {
            return self.backlog;
        }
        self.items.range(..order).map(|(_, item)| item.cost).sum()
    }
}
