use super::plan_work::{PlanPools, PlanWork};
use super::share_ledger::{ShareLedger, ShareTurn};
use crate::gateway::plan_scheduler::WaitKey;
use crate::gateway::{PlanClass, PlanDemand, PlanNumber, UtilityLevel};
use crate::prelude::*;
use crate::queueing::VirtualTime;

/// Waiting plans of one level of utility, class and set of pools. All of them wait for the same
/// pools, so that one that can't begin stands for those behind it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LaneKey {
    pub(super) level: UtilityLevel,
    pub(super) class: PlanClass,
    pub(super) pools: PlanPools,
}

/// Waiting plans by lane and workspace.
///
/// Turns change with each plan that begins, so a lane holds the turn that each workspace had
/// when it was last looked at. While a workspace waits its turn only moves back, so an outdated
/// one comes up too early and is corrected then.
#[derive(Debug, Default)]
pub(super) struct ShareLanes {
    lanes: BTreeMap<LaneKey, ShareLane>,
    /// Plans and turns looked at since the start, for a bound on the cost of a decision.
    steps: u64,
}

#[derive(Debug, Default)]
pub(super) struct ShareLane {
    flows: FastMap<Arc<str>, LaneFlow>,
    turns: BTreeSet<(VirtualTime, Arc<str>)>,
    floors: BTreeSet<(VirtualTime, Arc<str>)>,
    work: PlanWork,
}

/// The plans of one workspace in a lane.
#[derive(Debug, Default)]
pub(super) struct LaneFlow {
    plans: BTreeMap<(Instant, PlanNumber), PlanWork>,
    work: PlanWork,
    time: VirtualTime,
    floor_time: Option<VirtualTime>,
}

/// First plan of a lane.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LaneFirst {
    turn: ShareTurn,
    until: Instant,
    number: PlanNumber,
}

impl LaneKey {
    /// Lanes of one group are ordered by shares among each other.
    pub(super) fn group(&self) -> (UtilityLevel, PlanClass) {
        (self.level, self.class)
    }

    /// The waiting plan that is the lane's first.
    pub(super) fn wait_key(&self, first: LaneFirst) -> WaitKey {
        WaitKey {
            level: self.level,
            class: self.class,
            until: first.until,
            number: first.number,
        }
    }
}

impl ShareLanes {
    /// Adds a plan whose workspace is known to wait by the ledger.
    pub(super) fn insert(&mut self, ledger: &ShareLedger, key: &WaitKey, plan: &PlanDemand) {
        let (lane_key, work) = lane_of(key, plan);
        let lane = self.lanes.entry(lane_key).or_default();
        lane.work.add(&work);
        let flow = lane.flows.entry(Arc::clone(&plan.workspace)).or_default();
        flow.work.add(&work);
        let is_first = flow.plans.is_empty();
        flow.plans.insert((key.until, key.number), work);
        if is_first {
            lane.attach(ledger, &plan.workspace);
        }
    }

    pub(super) fn remove(&mut self, key: &WaitKey, plan: &PlanDemand) {
        let (lane_key, work) = lane_of(key, plan);
        let Some(lane) = self.lanes.get_mut(&lane_key) else {
            return;
        };
        let Some(flow) = lane.flows.get_mut(&plan.workspace) else {
            return;
        };
        if flow.plans.remove(&(key.until, key.number)).is_none() {
            return;
        }
        flow.work.subtract(&work);
        lane.work.subtract(&work);
        if flow.plans.is_empty() {
            lane.detach(&plan.workspace);
            lane.flows.remove(&plan.workspace);
        }
        if lane.flows.is_empty() {
            self.lanes.remove(&lane_key);
        }
    }

    /// Reads all turns anew, after the rules of workspaces have changed.
    pub(super) fn reorder(&mut self, ledger: &ShareLedger) {
        for lane in self.lanes.values_mut() {
            let workspaces: Vec<Arc<str>> = lane.flows.keys().cloned().collect();
            for workspace in workspaces {
                lane.detach(&workspace);
                lane.attach(ledger, &workspace);
            }
        }
    }

    pub(super) fn keys(&self) -> impl Iterator<Item = &LaneKey> {
        self.lanes.keys()
    }

    /// Lanes that precede a group, with their keys.
    pub(super) fn before(
        &self,
        group: (UtilityLevel, PlanClass),
    ) -> impl Iterator<Item = (&LaneKey, &ShareLane)> {
        let lanes = self.lanes.iter();
        lanes.take_while(move |(key, _)| key.group() < group)
    }

    /// Lanes of a group, with their keys.
    pub(super) fn of_group(
        &self,
        group: (UtilityLevel, PlanClass),
    ) -> impl Iterator<Item = (&LaneKey, &ShareLane)> {
        let lanes = self.lanes.iter();
        lanes.filter(move |(key, _)| key.group() == group)
    }

    /// First plan of a lane: of the workspace whose turn it is, the one that has to begin first.
    pub(super) fn first(&mut self, ledger: &ShareLedger, key: &LaneKey) -> Option<LaneFirst> {
        let lane = self.lanes.get_mut(key)?;
        let (workspace, turn) = lane.next_workspace(ledger, &mut self.steps)?;
        let flow = lane.flows.get(&workspace)?;
        let (until, number) = *flow.plans.first_key_value()?.0;
        Some(LaneFirst {
            turn,
            until,
            number,
        })
    }

    /// Plans and turns looked at since the start.
    #[cfg(test)]
    pub(super) fn steps(&self) -> u64 {
        self.steps
    }
}

impl ShareLane {
    pub(super) fn flows(&self) -> impl Iterator<Item = (&Arc<str>, &LaneFlow)> {
        self.flows.iter()
    }

    pub(super) fn flow(&self, workspace: &str) -> Option<&LaneFlow> {
        self.flows.get(workspace)
    }

    pub(super) fn work(&self) -> &PlanWork {
        &self.work
    }

    fn next_workspace(
        &mut self,
        ledger: &ShareLedger,
        steps: &mut u64,
    ) -> Option<(Arc<str>, ShareTurn)> {
        loop {
            *steps += 1;
            let floor = self.floors.first();
            let floor = floor.filter(|(time, _)| ledger.is_below_floor(*time));
            let (has_floor, (time, workspace)) = match floor {
                Some(first) => (false, first),
                None => (true, self.turns.first()?),
            };
            let turn = ShareTurn {
                has_floor,
                time: *time,
            };
            let workspace = Arc::clone(workspace);
            if ledger.turn(&workspace) == turn {
                return Some((workspace, turn));
            }
            self.detach(&workspace);
            self.attach(ledger, &workspace);
        }
    }

    fn attach(&mut self, ledger: &ShareLedger, workspace: &Arc<str>) {
        let Some(flow) = self.flows.get_mut(workspace) else {
            return;
        };
        flow.time = ledger.virtual_time(workspace);
        flow.floor_time = ledger.floor_time(workspace);
        self.turns.insert((flow.time, Arc::clone(workspace)));
        if let Some(time) = flow.floor_time {
            self.floors.insert((time, Arc::clone(workspace)));
        }
    }

    fn detach(&mut self, workspace: &Arc<str>) {
        let Some(flow) = self.flows.get(workspace) else {
            return;
        };
        self.turns.remove(&(flow.time, Arc::clone(workspace)));
        if let Some(time) = flow.floor_time {
            self.floors.remove(&(time, Arc::clone(workspace)));
        }
    }
}

impl LaneFlow {
    pub(super) fn work(&self) -> &PlanWork {
        &self.work
    }

    /// Work of the plans that have to begin before `key`.
    pub(super) fn work_before(&self, key: &WaitKey) -> PlanWork {
        let mut sum = PlanWork::default();
        for work in self.plans.range(..(key.until, key.number)) {
            sum.add(work.1);
        }
        sum
    }
}

fn lane_of(key: &WaitKey, plan: &PlanDemand) -> (LaneKey, PlanWork) {
    let (pools, work) = PlanWork::of(plan);
    let lane_key = LaneKey {
        level: key.level,
        class: key.class,
        pools,
    };
    (lane_key, work)
}
