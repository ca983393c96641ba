use rand::RngExt;

use super::forward_run::ForwardRun;
use super::gateway_view::GatewayView;
use super::plan_request::PlanRequest;
use super::plan_results::PlanFailure;
use super::prompt_exchange::{self, PermitResponse};
use super::{GatewayRefusal, NotRunReason, PlacementQuery, PoolMember, ReturnTime};
use crate::prelude::*;
use crate::registry::BootClock;

/// Maximum number of limited endpoints for which a request asks for a permit when no other
/// endpoint is available.
const MAX_PERMIT_REQUESTS: usize = 3;

/// Longest wait for a permit; beyond it the request is refused with a retry time.
const MAX_PERMIT_WAIT: Duration = Duration::from_secs(1);

/// Time told to callers whose return is of no use. Told none, callers return at once, several
/// times, and take room in queues that others could use.
pub(super) const HOPELESS_RETRY: Duration = Duration::from_secs(5);

/// Returns a random time between half of `retry_after` and all of it, so that callers that
/// were refused together do not retry together.
fn with_jitter(retry_after: Duration) -> Duration {
    let half = retry_after / 2;
    half + Duration::from_millis(rand::rng().random_range(0..=half.as_millis() as u64))
}

/// Choice of the endpoints for a request and its stages.
impl ForwardRun {
    /// The endpoint that this entry would choose by itself among the available ones that
    /// are eligible.
    fn pick(
        &self,
        view: &GatewayView,
        is_eligible: impl Fn(&PoolMember) -> bool,
    ) -> Option<Arc<PoolMember>> {
        let query = PlacementQuery {
            affinity: self.context.affinity(),
            data_center: &self.node.data_center,
            ledger: &self.ledger,
        };
        let pool = &self.context.pool;
        let members = view.roster.pool(pool).iter();
        let data_center_filter = &self.context.data_center_filter;
        let is_eligible = &is_eligible;
        let members = members.filter(move |member| {
            let is_allowed_data_center = data_center_filter.has(member.data_center());
            is_allowed_data_center
                && self.may_continue_at(member)
                && self.may_run_at(member)
                && self.may_replace_at(member)
                && self.node.is_available(member.endpoint())
                && is_eligible(member)
        });
        let scores = &self.node.scores;
        let now = Instant::now();
        // One without calls from this entry may be as silent as the one that it would replace.
        let proven = members.clone().filter(|member| self.is_proven(member));
        let chosen = match self.stalled_since {
            Some(_) => scores.place(now, pool, proven, query),
            None => None,
        };
        chosen
            .or_else(|| scores.place(now, pool, members, query))
            .cloned()
    }

    /// The endpoint that this entry would choose by itself among all available ones.
    pub(super) fn pick_any(&self, view: &GatewayView) -> Option<Arc<PoolMember>> {
        self.pick(view, |_| true)
    }

    /// Whether the route allows the request to run at one more endpoint, if it has not been at this
    /// one.
    fn may_run_at(&self, member: &PoolMember) -> bool {
        let max_endpoints = self.context.route.max_endpoints as usize;
        self.ledger.may_run_at(member.endpoint(), max_endpoints)
    }

    /// Whether an endpoint is better off than the one that the next send would replace.
    fn may_replace_at(&self, member: &PoolMember) -> bool {
        let progress = &self.node.scores.progress;
        self.stalled_since
            .is_none_or(|since| progress.is_better(member.endpoint(), since.elapsed()))
    }

    /// Whether an endpoint is seen to make progress, if the next send replaces a stalled call.
    pub(super) fn is_proven(&self, member: &PoolMember) -> bool {
        let progress = &self.node.scores.progress;
        self.stalled_since
            .is_none_or(|since| progress.is_proven(member.endpoint(), since.elapsed()))
    }

    /// Whether the request could be sent to an endpoint that is better off than one that has been
    /// silent for `stall`.
    pub(super) fn has_better_endpoint(&self, stall: Duration) -> bool {
        let view = self.node.view.load();
        let progress = &self.node.scores.progress;
        self.pick(&view, |member| progress.is_better(member.endpoint(), stall))
            .is_some()
    }

    /// Whether the request could be sent to an endpoint now, if it needs no permit.
    pub(super) fn has_endpoint_now(&self) -> bool {
        let view = self.node.view.load();
        self.pick(&view, |_| true).is_some()
    }

    /// Whether there are endpoints for the request and its stages, available now or later.
    pub(super) fn has_endpoint_left(&self) -> bool {
        let view = self.node.view.load();
        let mut members = view.roster.pool(&self.context.pool).iter();
        let has_endpoint = members.any(|member| {
            let endpoint = member.endpoint();
            self.context.data_center_filter.has(member.data_center())
                && self.may_continue_at(member)
                && !self.ledger.was_sent_to(endpoint)
                && !self.node.availability.is_leaving(endpoint)
        });
        has_endpoint && (self.results.is_some() || self.has_stage_endpoints(&view))
    }

    fn needs_permit(&self, member: &PoolMember) -> bool {
        self.node.needs_permit(&self.context.pool, member)
    }

    /// The endpoint that this entry chooses by itself. A limited endpoint requires a
    /// permit; without one an unlimited endpoint is used. If only limited endpoints are
    /// available, waits up to `max_permit_wait` for a permit.
    async fn pick_permitted(&mut self, view: &GatewayView) -> Option<Arc<PoolMember>> {
        let is_eligible = |member: &PoolMember| {
            let now = Instant::now();
            let is_backed_off = self.node.permits.is_backed_off(now, member.endpoint());
            !is_backed_off || !self.needs_permit(member)
        };
        let member = self.pick(view, is_eligible);
        if let Some(member) = member
            && (!self.needs_permit(&member) || self.acquire_permit(&member, Duration::ZERO).await)
        {
            return Some(member);
        }
        if let Some(unlimited) = self.pick_unlimited(view) {
            return Some(unlimited);
        }
        let mut refused: Vec<String> = Vec::new();
        while refused.len() < MAX_PERMIT_REQUESTS {
            let is_untried =
                |member: &PoolMember| refused.iter().all(|tried| tried != member.endpoint());
            let member = self.pick(view, is_untried)?;
            if self
                .acquire_permit(&member, self.max_permit_wait(&member))
                .await
            {
                return Some(member);
            }
            refused.push(member.endpoint().to_string());
        }
        None
    }

    /// Longest wait for a permit. Permits for cold endpoints can't be reserved ahead, as
    /// their bound applies to any one second.
    fn max_permit_wait(&self, member: &PoolMember) -> Duration {
        let now = Instant::now();
        match member.is_cold(now) {
            true => Duration::ZERO,
            false => (self.context.remaining(now) / 2).min(MAX_PERMIT_WAIT),
        }
    }

    /// Requests a permit and waits until it is valid; false if it is refused.
    async fn acquire_permit(&mut self, member: &PoolMember, max_wait: Duration) -> bool {
        let node = &self.node;
        let answer = node
            .exchange
            .request_permit(node, &self.context, member, max_wait);
        let answer = answer.await;
        log_event!(
            info,
            "permit_answered",
            request = self.context.id,
            endpoint = member.endpoint(),
            answer = format!("{answer:?}")
        );
        match answer {
            PermitResponse::Granted { wait, until } => {
                self.permitted_until = Some(until);
                self.permit_retry_after = None;
                tokio::time::sleep(wait).await;
                true
            }
            PermitResponse::Refused { retry_after } => {
                let now = Instant::now();
                node.permits.back_off(now, member.endpoint(), retry_after);
                self.record_permit_retry(retry_after.unwrap_or_default());
                false
            }
        }
    }

    fn record_permit_retry(&mut self, wait: Duration) {
        let shortest = self
            .permit_retry_after
            .map_or(wait, |known| known.min(wait));
        self.permit_retry_after = Some(shortest);
    }

    fn pick_unlimited(&self, view: &GatewayView) -> Option<Arc<PoolMember>> {
        self.pick(view, |member| !self.needs_permit(member))
    }

    /// Chooses the engine of the prompt's shard that a coordinator would probably have chosen:
    /// both go by the same hash of the shared part. `None` if the shard has no healthy one.
    fn pick_home(&self, view: &GatewayView) -> Option<Arc<PoolMember>> {
        let shard = prompt_exchange::engine_shard(view, &self.context);
        let now = Instant::now();
        let is_healthy = |member: &PoolMember| {
            let cost = self.node.scores.cost(now, &self.context.pool, member);
            cost.surcharge == 0.0
        };
        self.pick(view, |member| {
            shard.has(member) && !self.needs_permit(member) && is_healthy(member)
        })
    }

    /// Chooses the endpoint for the next attempt. A prompt goes to the engine that the
    /// coordinator of its shard chose, unless this entry finds that engine unhealthy or
    /// unavailable.
    ///
    /// In a pool with few engines, all engines are one shard, and each entry chooses by
    /// itself: a prompt stays with the engine of its hash, near which its large results
    /// were made. Placement by load would make engines read shared parts of prompts
    /// repeatedly.
    pub(super) async fn choose(&mut self, view: &GatewayView) -> Option<Arc<PoolMember>> {
        self.placement = None;
        self.permitted_until = None;
        self.permit_retry_after = None;
        let pool = &self.context.pool;
        let profile = view.table.as_ref().and_then(|table| table.pool(pool));
        let is_plain = profile.is_none_or(|profile| profile.engine.is_none());
        if is_plain || prompt_exchange::engine_shard(view, &self.context).is_whole() {
            return self.pick_permitted(view).await;
        }
        let mut avoid = self.ledger.endpoints();
        avoid.extend(self.node.unavailable_endpoints(view, pool));
        if self.stalled_since.is_some() {
            let members = view.roster.pool(pool).iter();
            let worse = members.filter(|member| !self.may_replace_at(member));
            avoid.extend(worse.map(|member| member.endpoint().to_string()));
        }
        let version = self.origin.as_ref().map(|origin| origin.version.clone());
        let version = version.flatten();
        let exchange = &self.node.exchange;
        let placement = exchange.place(&self.node, &self.context, avoid, version.as_deref());
        let placement = placement.await;
        let member = placement
            .as_ref()
            .and_then(|placement| view.roster.member(pool, &placement.endpoint));
        let is_healthy = |member: &&Arc<PoolMember>| {
            let cost = self.node.scores.cost(Instant::now(), pool, member);
            cost.surcharge == 0.0
                && self.node.is_available(member.endpoint())
                && self.may_continue_at(member)
                && self.may_run_at(member)
                && self.may_replace_at(member)
        };
        let permitted_until = placement
            .as_ref()
            .and_then(|placement| placement.permitted_until);
        let is_permitted =
            |member: &&Arc<PoolMember>| permitted_until.is_some() || !self.needs_permit(member);
        match member.filter(is_healthy).filter(is_permitted) {
            Some(member) => {
                let member = member.clone();
                self.placement = placement;
                self.permitted_until = permitted_until;
                Some(member)
            }
            None => {
                if let Some(member) = member
                    && self.node.permits.limits.rate(member.endpoint()).is_some()
                {
                    // The coordinator that placed the prompt may not know of the limit.
                    self.node.report_limit(pool, member.endpoint());
                }
                match self.pick_home(view).or_else(|| self.pick_unlimited(view)) {
                    Some(member) => Some(member),
                    None => self.pick_permitted(view).await,
                }
            }
        }
    }

    /// Data centre in which the request will probably run.
    fn planned_data_center(&self, view: &GatewayView) -> Option<String> {
        let shard = prompt_exchange::engine_shard(view, &self.context);
        if !shard.is_whole() && self.origin.is_none() {
            return Some(shard.data_center().to_string());
        }
        self.pick_any(view)
            .map(|member| member.data_center().to_string())
    }

    /// Executes the stages near the endpoint that will probably get the request, and keeps
    /// their results.
    pub(super) async fn execute_stages(&mut self) -> Result<(), GatewayRefusal> {
        if self.context.route.stages.is_empty() {
            return Ok(());
        }
        self.results = None;
        let view = self.node.view.load_full();
        if !self.has_stage_endpoints(&view) {
            return Err(self.refuse(NotRunReason::NoEndpoint));
        }
        let Some(near) = self.planned_data_center(&view) else {
            return Err(self.refuse_unplaced(&view));
        };
        let request = self.plan_request(&near);
        let remaining = self.context.remaining(Instant::now());
        self.has_run_stages = true;
        let working = self.node.exchange.execute_plan(&self.node, request);
        let outcome = tokio::select! {
            outcome = tokio::time::timeout(remaining, working) => outcome,
            () = self.node.until_quarantined(&self.identity) => {
                return Err(self.refuse_quarantined());
            }
            () = self.node.stop.until_unsent_refused(), if self.ledger.not_run().is_some() => {
                return Err(self.refuse(NotRunReason::Stopping));
            }
        };
        match outcome {
            Ok(Ok(results)) => {
                self.results = Some(results);
                Ok(())
            }
            Ok(Err(failure)) => Err(self.refuse_failed_plan(failure)),
            Err(_) => Err(self.refuse(NotRunReason::TimeOver)),
        }
    }

    /// Whether each stage with pieces has an endpoint in an allowed data centre.
    fn has_stage_endpoints(&self, view: &GatewayView) -> bool {
        let context = &self.context;
        let stages = context.route.stages.rules().iter();
        let mut needed = stages
            .zip(&context.head.piece_counts)
            .filter(|(_, pieces)| **pieces > 0);
        needed.all(|(stage, _)| {
            let mut members = view.roster.pool(&stage.pool).iter();
            members.any(|member| context.data_center_filter.has(member.data_center()))
        })
    }

    /// Time until the first back-off in the request's pool ends; `None` if there is none.
    pub(super) fn shortest_backoff(&self, view: &GatewayView) -> Option<Duration> {
        let now = BootClock.now();
        let members = view.roster.pool(&self.context.pool).iter();
        let members =
            members.filter(|member| self.context.data_center_filter.has(member.data_center()));
        let availability = &self.node.availability;
        // A leaving endpoint stays unavailable after its back-off.
        let members = members.filter(|member| !availability.is_leaving(member.endpoint()));
        let waits = members.map(|member| availability.time_until_available(now, member.endpoint()));
        waits.filter(|wait| !wait.is_zero()).min()
    }

    /// The workspace that the request counts for; empty without one, or if workspaces have no
    /// shares.
    fn shared_workspace(&self) -> &str {
        let workspace = self.context.workspace.as_deref();
        let workspace = workspace.filter(|_| self.node.features.workspace_shares);
        workspace.unwrap_or_default()
    }

    fn plan_request(&self, near: &str) -> PlanRequest {
        let context = &self.context;
        PlanRequest {
            request_id: Arc::clone(&context.id),
            digest: Some(self.identity.digest),
            graph: Arc::clone(&context.route.stages),
            pieces: context.head.piece_counts.as_slice().into(),
            key: context.head.piece_key.as_str().into(),
            route: context.route.name.as_str().into(),
            workspace: self.shared_workspace().into(),
            rank: context.rank,
            turn_rank: context.turn_rank,
            size: context.size(),
            due: context.due,
            deadline: context.deadline,
            tail: self.node.first_events.forecast(context),
            near: near.into(),
            data_center_filter: context.data_center_filter.clone(),
            returning: context.is_returning,
            timely_only: false,
            no_reservation: false,
            is_rerun: self.has_run_stages,
            needs_retries: self.has_run_stages,
        }
    }

    fn refuse_failed_plan(&self, failure: PlanFailure) -> GatewayRefusal {
        match (failure, self.ledger.not_run()) {
            (PlanFailure::Overload { return_time, .. }, Some(proof)) => GatewayRefusal::NotRun {
                proof,
                reason: NotRunReason::Overload,
                retry_after: match return_time {
                    ReturnTime::After(delay) => Some(with_jitter(delay)),
                    ReturnTime::Appointed(delay) => Some(delay),
                    ReturnTime::Hopeless => Some(HOPELESS_RETRY),
                },
            },
            (PlanFailure::Overload { .. }, None) => self.refuse(NotRunReason::Overload),
            (PlanFailure::Quarantined, _) => self.refuse_quarantined(),
            (PlanFailure::Late, _) => self.refuse(NotRunReason::TimeOver),
            (PlanFailure::InputGone | PlanFailure::Failed, _) => {
                self.refuse(NotRunReason::StageFailed)
            }
        }
    }
}
