use std::sync::PoisonError;

use tokio::time::MissedTickBehavior;

use super::PlanDemand;
use super::gateway_node::GatewayNode;
use super::gateway_view::GatewayView;
use super::plan_admission::PlanAdmission;
use super::plan_request::PlanRequest;
use super::shard_balance::{
    BalanceQuery, OtherShard, ReportPacer, ShardChoice, ShardReport, TELL_INTERVAL,
};
use super::work_shard::{WorkKind, WorkShard};
use crate::generated::work::ShardLoadNotice;
use crate::generated::work::work_notice::Notice;
use crate::prelude::*;
use crate::registry::{BootClock, BootTime};
use crate::transport::PeerName;

/// Rate at which large results are taken to another data centre: less than half of a link of
/// 1 Gbit/s, as transfers share it.
const CARRIAGE_BYTES_PER_SECOND: f64 = 50e6;

/// Upper bound on the time for results to be carried: longer than the deadline of any plan.
const MAX_CARRIAGE: Duration = Duration::from_secs(60);

/// Tells the loads of the shards that this entry coordinates to the coordinators of the other
/// stage shards. See docs/design/shard-balance.md.
pub(super) async fn run(node: Arc<GatewayNode>) {
    let mut pacers = FastMap::default();
    let mut ticks = tokio::time::interval(TELL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let view = node.view.load_full();
        for (shard, admission) in node.all_plan_admissions() {
            node.tell_load(&view, &shard, &admission, &mut pacers);
        }
    }
}

impl GatewayNode {
    /// Tells the load of a shard if this entry coordinates it and a report is due.
    fn tell_load(
        &self,
        view: &GatewayView,
        shard: &WorkShard,
        admission: &PlanAdmission,
        pacers: &mut FastMap<WorkShard, ReportPacer>,
    ) {
        let map = view.shard_map(WorkKind::Stages, "");
        let coordinator = |shard| self.exchange.coordinator(view, WorkKind::Stages, shard);
        // A stand-in for an entry that this one can't reach has little of the shard's work.
        let ranked = view.ranked(WorkKind::Stages, shard);
        if !map.has(shard) || ranked.first() != Some(self.exchange.hub.name()) {
            return;
        }
        let others = map.shards().filter(|other| *other != shard);
        let others: Vec<Option<PeerName>> = others.map(coordinator).collect();
        let is_own_too = others.iter().any(Option::is_none);
        let receivers: BTreeSet<PeerName> = others.into_iter().flatten().collect();
        let first = || ReportPacer::new(first_sequence());
        let pacer = pacers.entry(shard.clone()).or_insert_with(first);
        let now = Instant::now();
        let has_work = admission.has_work();
        if !pacer.may_tell(now, receivers.len(), has_work) {
            return;
        }
        let report = admission.report(now);
        let Some(sequence) = pacer.tell(now, has_work, &report) else {
            return;
        };
        log_event!(
            debug,
            "shard_load_reported",
            shard = shard.name(),
            sequence = sequence,
            backlog_ms = report.longest_backlog().as_millis(),
            receivers = receivers.len()
        );
        let notice = report.to_notice(shard, sequence);
        if is_own_too {
            self.record_shard_load(self.exchange.hub.name(), &notice);
        }
        for receiver in receivers {
            if !self
                .exchange
                .notify(&receiver, Notice::ShardLoad(notice.clone()))
            {
                log_event!(debug, "shard_load_lost", to = receiver);
            }
        }
    }

    /// Records the load of a shard that its coordinator reported.
    pub(super) fn record_shard_load(&self, from: &PeerName, notice: &ShardLoadNotice) {
        let shard = WorkShard::from_name(&notice.shard);
        let report = ShardReport::from_notice(notice);
        let mut loads = self
            .shard_loads
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if !loads.record(Instant::now(), from, &shard, notice.sequence, report) {
            log_event!(
                debug,
                "shard_load_outdated",
                from = from,
                shard = shard.name(),
                sequence = notice.sequence
            );
        }
    }

    /// Chooses another shard for a plan that `own` can't begin in time. `own_wait` is its
    /// expected wait there, `preceding_share` the share of the backlog that precedes it.
    pub(super) fn choose_other_shard(
        &self,
        now: Instant,
        own: &WorkShard,
        request: &PlanRequest,
        plan: &PlanDemand,
        (own_wait, preceding_share): (Duration, f64),
    ) -> ShardChoice {
        let map = self.view.load().shard_map(WorkKind::Stages, "");
        let allowed = |shard: &&WorkShard| {
            shard.is_whole() || request.data_center_filter.has(shard.data_center())
        };
        let others = map.shards().filter(|shard| *shard != own).filter(allowed);
        let others: Vec<OtherShard> = others
            .map(|shard| OtherShard {
                shard: shard.clone(),
                carriage: carriage(request, shard),
            })
            .collect();
        let query = BalanceQuery {
            plan,
            own_wait,
            preceding_share,
            others: &others,
        };
        let mut loads = self
            .shard_loads
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        loads.choose(now, &query)
    }
}

/// Time that the results of a request take from a shard to where it will run; zero unless they
/// are large.
fn carriage(request: &PlanRequest, shard: &WorkShard) -> Duration {
    let is_near = shard.is_whole() || *shard.data_center() == *request.near;
    if is_near || !request.has_large_results() {
        return Duration::ZERO;
    }
    let stages = 0..request.graph.len();
    let final_stages = stages.filter(|stage| request.graph.is_final(*stage));
    let bytes = final_stages
        .map(|stage| request.result_bytes_of(stage) as f64 * f64::from(request.pieces_of(stage)));
    let seconds = bytes.sum::<f64>() / CARRIAGE_BYTES_PER_SECOND;
    Duration::from_secs_f64(seconds.min(MAX_CARRIAGE.as_secs_f64()))
}

/// Milliseconds since the VM was booted, which are higher after each restart of this entry than
/// the number of reports it has sent.
fn first_sequence() -> u64 {
    BootClock.now().since(BootTime::default()).as_millis() as u64
}

#[cfg(test)]
#[path = "load_exchange_tests.rs"]
mod tests;
