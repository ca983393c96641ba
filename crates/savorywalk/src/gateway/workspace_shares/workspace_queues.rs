use super::begin_order::TurnOrder;
use super::own_usage::OwnUsage;
use super::plan_work::PlanWork;
use super::remote_usage::RemoteUsage;
use super::share_forecast::ShareForecast;
use super::share_lanes::ShareLanes;
use super::{ShareLedger, ShareRule};
use crate::gateway::PlanDemand;
use crate::gateway::plan_scheduler::WaitKey;
use crate::generated::work::UsageNotice;
use crate::prelude::*;

/// Shares of workspaces at one scheduler: who has used what, and who waits.
#[derive(Debug)]
pub(in crate::gateway) struct WorkspaceQueues {
    ledger: ShareLedger,
    lanes: ShareLanes,
    own: OwnUsage,
    remote: RemoteUsage,
}

impl WorkspaceQueues {
    /// `epoch` differs between any two starts of a coordinator.
    pub(in crate::gateway) fn new(epoch: u64) -> Self {
        Self {
            ledger: ShareLedger::default(),
            lanes: ShareLanes::default(),
            own: OwnUsage::new(epoch),
            remote: RemoteUsage::default(),
        }
    }

    /// Puts the rules of a document in force.
    pub(in crate::gateway) fn set_rules(&mut self, rules: FastMap<Arc<str>, ShareRule>) {
        if self.ledger.set_rules(rules) {
            self.lanes.reorder(&self.ledger);
        }
    }

    /// Applies the notice of another coordinator. Own notices that come back are ignored.
    pub(in crate::gateway) fn adopt(&mut self, now: Instant, notice: &UsageNotice) {
        if notice.epoch == self.own.epoch() {
            return;
        }
        for (workspace, grown) in self.remote.apply(now, notice) {
            self.ledger.charge_remote(now, &workspace, grown);
        }
    }

    /// Returns the next notice to the other coordinators; `None` if nothing has changed.
    pub(in crate::gateway) fn next_notice(&mut self, shard: &str) -> Option<UsageNotice> {
        self.own.next_notice(shard)
    }

    /// Endpoint time of all plans begun here, by workspace.
    pub(in crate::gateway) fn usage(&self) -> impl Iterator<Item = (&Arc<str>, Duration)> {
        self.own.sums()
    }

    pub(in crate::gateway) fn ledger(&self) -> &ShareLedger {
        &self.ledger
    }

    pub(super) fn insert(&mut self, now: Instant, key: &WaitKey, plan: &PlanDemand) {
        let (_, work) = PlanWork::of(plan);
        let workspace = &plan.workspace;
        self.ledger
            .record_arrival(now, workspace, key.level, work.total);
        self.ledger.enqueue(now, workspace);
        self.lanes.insert(&self.ledger, key, plan);
    }

    pub(super) fn remove(&mut self, key: &WaitKey, plan: &PlanDemand) {
        self.lanes.remove(key, plan);
        self.ledger.dequeue(&plan.workspace);
    }

    pub(super) fn begin(&mut self, now: Instant, plan: &PlanDemand) {
        let (_, work) = PlanWork::of(plan);
        self.ledger.begin(now, &plan.workspace, work.total);
        self.own.add(&plan.workspace, work.total);
    }

    pub(super) fn begin_order(&self) -> TurnOrder {
        TurnOrder::new(&self.lanes)
    }

    pub(super) fn next(
        &mut self,
        order: &mut TurnOrder,
        blocked: &FastSet<Arc<str>>,
    ) -> Option<WaitKey> {
        order.next(&mut self.lanes, &self.ledger, blocked)
    }

    pub(super) fn forecast(&self, now: Instant, key: &WaitKey, plan: &PlanDemand) -> ShareForecast {
        ShareForecast::new(now, &self.lanes, &self.ledger, key, plan)
    }

    #[cfg(test)]
    pub(super) fn steps(&self) -> u64 {
        self.lanes.steps()
    }
}
