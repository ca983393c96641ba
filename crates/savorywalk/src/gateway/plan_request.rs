use super::work_shard::WorkShard;
use super::{DataCenterFilter, StageGraph};
use crate::generated::work::{PlanCall, PlannedStage};
use crate::prelude::*;
use crate::quarantine::RequestDigest;

/// All stages of one request, as sent to the entry that executes them.
#[derive(Clone, Debug)]
pub(super) struct PlanRequest {
    pub(super) request_id: Arc<str>,
    /// Digest by which a resent request is recognised; `None` from an entry that sends none.
    pub(super) digest: Option<RequestDigest>,
    pub(super) graph: Arc<StageGraph>,
    /// Number of pieces of each stage; 0 for a stage that is left out.
    pub(super) pieces: Arc<[u32]>,
    /// Key that the pieces of stages without inputs work on.
    pub(super) key: Arc<str>,
    /// Name of the request's route.
    pub(super) route: Arc<str>,
    /// Name of the request's workspace; empty without one.
    pub(super) workspace: Arc<str>,
    pub(super) rank: u8,
    /// Rank that applies while the route is served much less often than others.
    pub(super) turn_rank: u8,
    /// Size of the request in tokens to read; see `RequestContext::size`.
    pub(super) size: u64,
    /// Time by which the request should be answered.
    pub(super) due: Instant,
    /// Time at which the caller stops waiting.
    pub(super) deadline: Instant,
    /// Estimated time that the request needs after its stages.
    pub(super) tail: Duration,
    /// Data centre in which the request will run after its stages.
    pub(super) near: Arc<str>,
    /// Data centres in which the stages may be worked on.
    pub(super) data_center_filter: DataCenterFilter,
    /// Whether the request was refused before and its caller has retried.
    pub(super) returning: bool,
    /// Whether to refuse the request if it cannot be answered in time, because another shard
    /// may still do so.
    pub(super) timely_only: bool,
    /// Whether no room is to be reserved for the caller's return, since that will reach
    /// another shard.
    pub(super) no_reservation: bool,
    /// Whether its pieces may have been sent before.
    pub(super) is_rerun: bool,
    /// Whether its pieces take retries from the budget, because results were lost.
    pub(super) needs_retries: bool,
}

impl PlanRequest {
    /// Returns the call that has another entry execute the stages.
    pub(super) fn to_call(&self, now: Instant, shard: &WorkShard) -> PlanCall {
        let due_ms = match self.due.checked_duration_since(now) {
            Some(remaining) => remaining.as_millis() as i32,
            None => -((now - self.due).as_millis() as i32),
        };
        let deadline = self.deadline.saturating_duration_since(now);
        let stages = self.graph.rules().iter().enumerate();
        let stages = stages.map(|(stage, rule)| PlannedStage {
            pool: rule.pool.clone(),
            after: rule.after.iter().map(|input| *input as u32).collect(),
            result_bytes: rule.result_bytes,
            pieces: self.pieces_of(stage),
        });
        PlanCall {
            request_id: self.request_id.to_string(),
            digest: self
                .digest
                .map(|digest| digest.to_bytes())
                .unwrap_or_default(),
            shard: shard.name().to_string(),
            stages: stages.collect(),
            route: self.route.to_string(),
            workspace: self.workspace.to_string(),
            rank: self.rank.into(),
            turn_rank: Some(self.turn_rank.into()),
            size: self.size,
            due_ms,
            deadline_ms: deadline.as_millis() as u32,
            key: self.key.to_string(),
            near: self.near.to_string(),
            is_bound: self.data_center_filter.names().is_some(),
            data_centers: self
                .data_center_filter
                .names()
                .into_iter()
                .flatten()
                .cloned()
                .collect(),
            tail_ms: self.tail.as_millis() as u32,
            returning: self.returning,
            timely_only: self.timely_only,
            no_reservation: self.no_reservation,
            is_rerun: self.is_rerun,
            needs_retries: self.needs_retries,
        }
    }

    /// Decodes the call of another entry into its shard and request; `None` when a stage
    /// depends on one that does not come before it.
    pub(super) fn from_call(now: Instant, call: PlanCall) -> Option<(WorkShard, Self)> {
        let overdue = Duration::from_millis(u64::from(call.due_ms.min(0).unsigned_abs()));
        let remaining = Duration::from_millis(u64::from(call.due_ms.max(0).unsigned_abs()));
        let due = now.checked_sub(overdue).unwrap_or(now) + remaining;
        let pieces = call.stages.iter().map(|stage| stage.pieces).collect();
        let rules = call.stages.into_iter().map(|stage| super::StageRule {
            pool: stage.pool,
            after: stage.after.iter().map(|input| *input as usize).collect(),
            result_bytes: stage.result_bytes,
        });
        let turn_rank = call.turn_rank.unwrap_or(call.rank);
        let graph: StageGraph = rules.collect();
        if graph.first_invalid_stage().is_some() {
            return None;
        }
        let shard = WorkShard::from_name(&call.shard);
        let data_centers = call.data_centers.into_iter().collect();
        let data_center_filter = call.is_bound.then(|| DataCenterFilter::only(data_centers));
        let request = Self {
            request_id: call.request_id.into(),
            digest: RequestDigest::from_bytes(&call.digest),
            graph: Arc::new(graph),
            pieces,
            key: call.key.into(),
            route: call.route.into(),
            workspace: call.workspace.into(),
            size: call.size,
            rank: call.rank.min(u8::MAX.into()) as u8,
            turn_rank: turn_rank.min(u8::MAX.into()) as u8,
            due,
            deadline: now + Duration::from_millis(call.deadline_ms.into()),
            tail: Duration::from_millis(call.tail_ms.into()),
            near: call.near.into(),
            data_center_filter: data_center_filter.unwrap_or_default(),
            returning: call.returning,
            timely_only: call.timely_only,
            no_reservation: call.no_reservation,
            is_rerun: call.is_rerun,
            needs_retries: call.needs_retries,
        };
        Some((shard, request))
    }

    /// Returns the number of pieces of a stage.
    pub(super) fn pieces_of(&self, stage: usize) -> u32 {
        self.pieces.get(stage).copied().unwrap_or(0)
    }

    /// Returns the approximate size of one result of a stage, in bytes.
    pub(super) fn result_bytes_of(&self, stage: usize) -> u64 {
        self.graph.rules()[stage].result_bytes
    }

    /// Whether a stage with pieces has large results.
    pub(super) fn has_large_results(&self) -> bool {
        let mut stages = 0..self.graph.len();
        stages.any(|stage| self.pieces_of(stage) > 0 && self.graph.is_large(stage))
    }

    /// Returns the number of results that the request needs when all stages are done.
    pub(super) fn final_result_count(&self) -> usize {
        let stages = 0..self.graph.len();
        let final_stages = stages.filter(|stage| self.graph.is_final(*stage));
        final_stages
            .map(|stage| self.pieces_of(stage) as usize)
            .sum()
    }
}

#[cfg(test)]
#[path = "plan_request_tests.rs"]
mod tests;
