use super::share_lanes::{LaneKey, ShareLanes};
use super::share_ledger::ShareLedger;
use crate::gateway::plan_scheduler::WaitKey;
use crate::prelude::*;

/// Order in which the waiting plans are looked at in one decision.
#[derive(Debug)]
pub(in crate::gateway) enum BeginOrder {
    /// By their keys.
    ByKey(std::vec::IntoIter<WaitKey>),
    /// By level, class and the turns of workspaces.
    ByTurn(TurnOrder),
}

/// Cursor over the lanes in one decision.
#[derive(Debug)]
pub(in crate::gateway) struct TurnOrder {
    lanes: Vec<OrderedLane>,
    /// Start of the group that is looked at.
    group: usize,
    /// Lane of the last plan.
    last: usize,
}

#[derive(Debug)]
struct OrderedLane {
    key: LaneKey,
    /// Whether no more of its plans begin in this decision.
    is_closed: bool,
}

impl BeginOrder {
    /// Records that the last plan can't begin. With shares, those of the same pools behind it
    /// then wait as well, also late ones: a smaller plan would take the turn of a larger one,
    /// and a decision would look at all waiting plans.
    pub(in crate::gateway) fn pass_over(&mut self) {
        match self {
            Self::ByKey(_) => {}
            Self::ByTurn(order) => {
                if let Some(lane) = order.lanes.get_mut(order.last) {
                    lane.is_closed = true;
                }
            }
        }
    }
}

impl TurnOrder {
    pub(super) fn new(lanes: &ShareLanes) -> Self {
        let lanes = lanes.keys().map(|key| OrderedLane {
            key: key.clone(),
            is_closed: false,
        });
        Self {
            lanes: lanes.collect(),
            group: 0,
            last: 0,
        }
    }

    /// Returns the next plan to look at.
    pub(super) fn next(
        &mut self,
        lanes: &mut ShareLanes,
        ledger: &ShareLedger,
        blocked: &FastSet<Arc<str>>,
    ) -> Option<WaitKey> {
        loop {
            let group = self.lanes.get(self.group)?.key.group();
            let of_group = self.lanes.iter().enumerate().skip(self.group);
            let of_group = of_group.take_while(|(_, lane)| lane.key.group() == group);
            let count = of_group.clone().count();
            let is_open = |lane: &OrderedLane| {
                !lane.is_closed && !lane.key.pools.iter().any(|pool| blocked.contains(pool))
            };
            let open = of_group.filter(|(_, lane)| is_open(lane));
            let firsts = open.filter_map(|(index, lane)| {
                let first = lanes.first(ledger, &lane.key)?;
                Some((first, index))
            });
            if let Some((first, index)) = firsts.min() {
                self.last = index;
                return Some(self.lanes[index].key.wait_key(first));
            }
            self.group += count;
        }
    }
}
