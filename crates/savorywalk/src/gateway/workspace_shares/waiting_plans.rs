use super::begin_order::BeginOrder;
use super::{ShareForecast, WorkspaceQueues};
use crate::gateway::plan_scheduler::WaitKey;
use crate::gateway::{PlanClass, PlanDemand, PlanNumber, UtilityLevel};
use crate::prelude::*;

/// The waiting plans of a scheduler, by key, number and end of their wait, and by workspace if
/// workspaces have shares.
#[derive(Debug, Default)]
pub(in crate::gateway) struct WaitingPlans {
    plans: BTreeMap<WaitKey, WaitingPlan>,
    keys: FastMap<PlanNumber, WaitKey>,
    ends: BTreeSet<(Instant, PlanNumber)>,
    queues: Option<Box<WorkspaceQueues>>,
}

#[derive(Debug)]
struct WaitingPlan {
    plan: PlanDemand,
    since: Instant,
}

impl WaitingPlans {
    /// Lets workspaces have shares from now on; `epoch` differs between any two starts.
    pub(in crate::gateway) fn enable_shares(&mut self, epoch: u64) {
        self.queues = Some(Box::new(WorkspaceQueues::new(epoch)));
    }

    /// The shares of workspaces, if they have any.
    pub(in crate::gateway) fn queues(&self) -> Option<&WorkspaceQueues> {
        self.queues.as_deref()
    }

    /// The shares of workspaces, if they have any, for changes.
    pub(in crate::gateway) fn queues_mut(&mut self) -> Option<&mut WorkspaceQueues> {
        self.queues.as_deref_mut()
    }

    pub(in crate::gateway) fn insert(&mut self, now: Instant, key: WaitKey, plan: PlanDemand) {
        if let Some(queues) = &mut self.queues {
            queues.insert(now, &key, &plan);
        }
        self.keys.insert(key.number, key);
        self.ends.insert((key.until, key.number));
        self.plans.insert(key, WaitingPlan { plan, since: now });
    }

    pub(in crate::gateway) fn remove(&mut self, key: &WaitKey) -> Option<PlanDemand> {
        let WaitingPlan { plan, .. } = self.plans.remove(key)?;
        self.keys.remove(&key.number);
        self.ends.remove(&(key.until, key.number));
        if let Some(queues) = &mut self.queues {
            queues.remove(key, &plan);
        }
        Some(plan)
    }

    pub(in crate::gateway) fn remove_number(&mut self, number: PlanNumber) {
        if let Some(key) = self.keys.get(&number).copied() {
            self.remove(&key);
        }
    }

    pub(in crate::gateway) fn get(&self, key: &WaitKey) -> Option<&PlanDemand> {
        self.plans.get(key).map(|waiting| &waiting.plan)
    }

    /// The key of a waiting plan.
    #[cfg(test)]
    pub(in crate::gateway) fn key(&self, number: PlanNumber) -> Option<&WaitKey> {
        self.keys.get(&number)
    }

    pub(in crate::gateway) fn is_empty(&self) -> bool {
        self.plans.is_empty()
    }

    pub(in crate::gateway) fn len(&self) -> usize {
        self.plans.len()
    }

    /// Waiting plans and since when they wait.
    pub(in crate::gateway) fn iter(&self) -> impl Iterator<Item = (&PlanDemand, Instant)> {
        let plans = self.plans.values();
        plans.map(|waiting| (&waiting.plan, waiting.since))
    }

    /// Plans whose wait is over, in the order of their keys.
    pub(in crate::gateway) fn expired(&self, now: Instant) -> Vec<WaitKey> {
        let ends = self.ends.iter().take_while(|(until, _)| *until < now);
        let keys = ends.filter_map(|(_, number)| self.keys.get(number).copied());
        let mut keys: Vec<WaitKey> = keys.collect();
        keys.sort_unstable();
        keys
    }

    /// First end of a wait.
    pub(in crate::gateway) fn first_end(&self) -> Option<Instant> {
        self.ends.first().map(|(until, _)| *until)
    }

    /// Charges the workspace of a plan that begins.
    pub(in crate::gateway) fn record_begin(&mut self, now: Instant, plan: &PlanDemand) {
        if let Some(queues) = &mut self.queues {
            queues.begin(now, plan);
        }
    }

    /// Begins a decision.
    pub(in crate::gateway) fn begin_order(&self) -> BeginOrder {
        match &self.queues {
            Some(queues) => BeginOrder::ByTurn(queues.begin_order()),
            None => {
                let keys: Vec<WaitKey> = self.plans.keys().copied().collect();
                BeginOrder::ByKey(keys.into_iter())
            }
        }
    }

    /// Returns the next plan to look at in a decision. Those that use a blocked pool may be
    /// left out.
    pub(in crate::gateway) fn next(
        &mut self,
        order: &mut BeginOrder,
        blocked: &FastSet<Arc<str>>,
    ) -> Option<WaitKey> {
        match order {
            BeginOrder::ByKey(keys) => keys.next(),
            BeginOrder::ByTurn(order) => self.queues.as_mut()?.next(order, blocked),
        }
    }

    /// Forecast of the work that precedes a plan by shares; `None` if workspaces have none.
    pub(in crate::gateway) fn share_forecast(
        &self,
        now: Instant,
        key: &WaitKey,
        plan: &PlanDemand,
    ) -> Option<ShareForecast> {
        let queues = self.queues.as_ref()?;
        Some(queues.forecast(now, key, plan))
    }

    /// Plans that precede late ones of a level.
    pub(in crate::gateway) fn before_late(
        &self,
        level: UtilityLevel,
    ) -> impl Iterator<Item = &PlanDemand> {
        let is_before = move |key: &WaitKey| (key.level, key.class) < (level, PlanClass::Late);
        let plans = self.plans.iter();
        let before = plans.take_while(move |(key, _)| is_before(key));
        before.map(|(_, waiting)| &waiting.plan)
    }

    /// Plans that precede a key.
    pub(in crate::gateway) fn before(&self, key: &WaitKey) -> impl Iterator<Item = &PlanDemand> {
        let before = self.plans.range(..key);
        before.map(|(_, waiting)| &waiting.plan)
    }
}
