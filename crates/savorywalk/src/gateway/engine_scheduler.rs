use std::sync::{Mutex, PoisonError};

use super::endpoint_score::EndpointScores;
use super::gateway_metrics::GatewayMetrics;
use super::gateway_view::GatewayView;
use super::permit_gate::PermitWindow;
use super::prompt_homes::PlacementCounts;
use super::send_permits::PermitDecision;
use super::work_shard::WorkShard;
use super::{EngineChoice, EngineModel, EngineTarget, PoolMember, PromptPart, PromptQuery};
use crate::generated::work::{PlaceCall, PlaceReply, PlaceReport};
use crate::prelude::*;
use crate::routing::AttemptReport;

/// Latency recorded for a prompt that took as long as expected. Latencies are recorded relative
/// to the expected time so that long and short prompts count alike.
const NOMINAL_LATENCY: Duration = Duration::from_millis(300);

/// Time between log lines that sum up placements, so that a coordinator of a hundred prompts a
/// second logs few lines.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(5);

/// Chooses the engines for the prompts of all entries, in the shards that this entry
/// coordinates.
#[derive(Debug, Default)]
pub(super) struct EngineScheduler {
    models: Mutex<FastMap<EngineKey, EngineModel>>,
    summary: Mutex<PlacementSummary>,
    scores: EndpointScores,
}

/// Placements since the last log line that sums them up.
#[derive(Debug, Default)]
struct PlacementSummary {
    prompts: u64,
    reads: PlacementCounts,
    logged_at: Option<Instant>,
}

impl PlacementSummary {
    fn add(&mut self, now: Instant, reads: &PlacementCounts) {
        self.prompts += 1;
        self.reads.merge(reads);
        let logged_at = *self.logged_at.get_or_insert(now);
        if now.saturating_duration_since(logged_at) >= SUMMARY_INTERVAL {
            let (prompts, reads) = (self.prompts, self.reads);
            log_event!(info, "prompts_placed", prompts = prompts, tokens = reads);
            *self = Self {
                logged_at: Some(now),
                ..Self::default()
            };
        }
    }
}

/// The engines of a pool in one shard.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct EngineKey {
    pool: String,
    shard: WorkShard,
}

impl EngineScheduler {
    /// Chooses the engine for a prompt and issues a permit for it, or only issues a permit if
    /// the call names the endpoint.
    pub(super) fn place(
        &self,
        now: Instant,
        view: &GatewayView,
        call: &PlaceCall,
        permits: &PermitWindow<'_>,
        metrics: &GatewayMetrics,
    ) -> PlaceReply {
        if !call.permit_for.is_empty() {
            return issue_permit(now, view, call, permits);
        }
        let shard = WorkShard::from_name(&call.shard);
        let members = view.roster.pool(&call.pool).iter().map(Arc::as_ref);
        let members = members.filter(|member| shard.has(member));
        let usable = members.filter(|member| {
            let endpoint = member.endpoint();
            let is_avoided = call.avoid.iter().any(|avoided| avoided == endpoint);
            let has_version =
                call.version.is_empty() || member.version.as_deref() == Some(&call.version);
            !is_avoided && has_version && permits.admits(now, member)
        });
        let targets = self.targets(now, view, &call.pool, usable);
        let parts = call.parts.iter().map(|part| PromptPart {
            id: part.id,
            tokens: part.tokens.into(),
        });
        let parts: Vec<PromptPart> = parts.collect();
        let query = PromptQuery {
            parts: &parts,
            answer_tokens: call.answer_tokens.into(),
        };
        let key = EngineKey {
            pool: call.pool.clone(),
            shard,
        };
        let mut models = self.models.lock().unwrap_or_else(PoisonError::into_inner);
        let model = models.entry(key).or_default();
        if model.len() > view.roster.pool(&call.pool).len() {
            model.retain_engines(|endpoint| view.roster.has(&call.pool, endpoint));
        }
        let Some(choice) = model.place(now, query, &targets) else {
            return PlaceReply::default();
        };
        drop(models);
        self.record_reads(now, call, choice, metrics);
        let member = view.roster.member(&call.pool, choice.endpoint);
        PlaceReply {
            endpoint: choice.endpoint.to_string(),
            expected_ms: choice.expected.as_millis() as u32,
            permitted: member.is_some_and(|member| permits.try_issue(now, member)),
            ..Default::default()
        }
    }

    fn record_reads(
        &self,
        now: Instant,
        call: &PlaceCall,
        choice: EngineChoice<'_>,
        metrics: &GatewayMetrics,
    ) {
        log_event!(
            debug,
            "prompt_placed",
            pool = call.pool,
            endpoint = choice.endpoint,
            tokens = choice.reads
        );
        metrics.record_placement(&call.pool, &choice.reads);
        let mut summary = self.summary.lock().unwrap_or_else(PoisonError::into_inner);
        summary.add(now, &choice.reads);
    }

    /// The members that are neither silent nor ejected, as targets for a prompt.
    fn targets<'a>(
        &self,
        now: Instant,
        view: &'a GatewayView,
        pool: &str,
        members: impl Iterator<Item = &'a PoolMember>,
    ) -> Vec<EngineTarget<'a>> {
        let profile = view.table.as_ref().and_then(|table| table.pool(pool));
        let engine = profile.and_then(|profile| profile.engine);
        let memory_tokens = engine.map_or(0, |engine| engine.cache_tokens);
        let targets = members.filter_map(|member| {
            let cost = self.scores.cost(now, pool, member);
            (cost.surcharge == 0.0).then(|| EngineTarget {
                endpoint: member.endpoint(),
                duration_factor: cost.factor,
                memory_tokens,
            })
        });
        targets.collect()
    }

    /// Records how long an engine took for a prompt, or that it failed.
    pub(super) fn report(&self, view: &GatewayView, report: &PlaceReport) {
        let attempt = match report.failed {
            true => AttemptReport::Failed,
            false => AttemptReport::Succeeded(NOMINAL_LATENCY * report.taken_permille / 1_000),
        };
        if !report.failed {
            let key = EngineKey {
                pool: report.pool.clone(),
                shard: WorkShard::from_name(&report.shard),
            };
            let mut models = self.models.lock().unwrap_or_else(PoisonError::into_inner);
            if let Some(model) = models.get_mut(&key) {
                model.observe(f64::from(report.taken_permille) / 1_000.0);
            }
        }
        let records = view.roster.records(&report.pool);
        let pool = &report.pool;
        self.scores.report(pool, records, &report.endpoint, attempt);
    }
}

/// Issues a permit for the endpoint that the calling entry has chosen.
fn issue_permit(
    now: Instant,
    view: &GatewayView,
    call: &PlaceCall,
    permits: &PermitWindow<'_>,
) -> PlaceReply {
    let Some(member) = view.roster.member(&call.pool, &call.permit_for) else {
        return PlaceReply::default();
    };
    let max_wait = Duration::from_millis(call.max_wait_ms.into());
    match permits.reserve(now, member, max_wait) {
        PermitDecision::Granted { wait } => PlaceReply {
            endpoint: call.permit_for.clone(),
            permitted: true,
            wait_ms: Some(wait.as_millis() as u32),
            ..Default::default()
        },
        PermitDecision::Refused { retry_after } => PlaceReply {
            wait_ms: retry_after.map(|wait| wait.as_millis() as u32),
            ..Default::default()
        },
    }
}
