use prost::Message;

use super::PoolMember;
use super::coordinator_table::CoordinatorFailure;
use super::gateway_node::GatewayNode;
use super::gateway_view::GatewayView;
use super::request_context::RequestContext;
use super::send_permits::PERMIT_VALIDITY;
use super::work_exchange::WorkExchange;
use super::work_shard::{ShardMap, WorkKind, WorkShard};
use crate::generated::work::work_call::Call;
use crate::generated::work::work_notice::Notice;
use crate::generated::work::{PlaceCall, PlaceReply, PlaceReport, PlacedPart, WorkCall};
use crate::hashing::stable_hash;
use crate::prelude::*;
use crate::registry::{BootClock, BootTime};
use crate::transport::{LinkChannel, PeerName};

/// Timeout of a call to a coordinator: many round trips within a region. Afterwards this entry
/// chooses the engine itself, or requests the permit from the fallback, for this request alone
/// unless [`CoordinatorTable`](super::coordinator_table::CoordinatorTable) decides that the
/// coordinator is lost.
pub(super) const PLACE_TIMEOUT: Duration = Duration::from_millis(150);

/// The engine that a coordinator has chosen for a prompt.
#[derive(Clone, Debug)]
pub(super) struct PromptPlacement {
    pool: String,
    shard: WorkShard,
    /// Identity of the engine's incarnation.
    pub(super) endpoint: String,
    /// Expected time until the first event of the answer.
    expected: Duration,
    /// Until when the prompt may be sent to a limited endpoint; `None` without a permit.
    pub(super) permitted_until: Option<BootTime>,
}

impl PromptPlacement {
    /// Expected time until the first event of the answer, in milliseconds.
    pub(super) fn expected_ms(&self) -> u128 {
        self.expected.as_millis()
    }
}

/// The response to a permit request.
#[derive(Clone, Copy, Debug)]
pub(super) enum PermitResponse {
    /// One request may be sent after `wait` and before `until`.
    Granted { wait: Duration, until: BootTime },
    /// No request may be sent; see [`super::send_permits::PermitDecision`].
    Refused { retry_after: Option<Duration> },
}

impl PermitResponse {
    /// Converts the reply to a call that was sent at `sent`.
    fn from_reply(reply: &PlaceReply, sent: BootTime) -> Self {
        let wait = reply.wait_ms.map(|wait| Duration::from_millis(wait.into()));
        if !reply.permitted {
            return Self::Refused { retry_after: wait };
        }
        let wait = wait.unwrap_or_default();
        Self::Granted {
            wait,
            until: sent.plus(wait + PERMIT_VALIDITY),
        }
    }
}

/// The shard whose engines may get a prompt. Requests that share a part go to the same shard, so
/// that the part is read and cached only there.
pub(super) fn engine_shard(view: &GatewayView, context: &RequestContext) -> WorkShard {
    let own = || stable_hash(&[context.id.as_bytes()]);
    let ticket = context
        .affinity()
        .map_or_else(own, |part| stable_hash(&[&part.to_le_bytes()]));
    let map = view.shard_map(WorkKind::Prompts, &context.pool);
    let map = ShardMap::clone(&map).retain_allowed(&context.data_center_filter);
    map.select(ticket, None).cloned().unwrap_or_default()
}

impl WorkExchange {
    /// Has the coordinator of the prompt's shard choose the engine that probably answers first;
    /// `None` if the coordinator does not answer or finds no engine.
    pub(super) async fn place(
        &self,
        node: &Arc<GatewayNode>,
        context: &RequestContext,
        avoid: Vec<String>,
        version: Option<&str>,
    ) -> Option<PromptPlacement> {
        let view = node.view.load_full();
        let shard = engine_shard(&view, context);
        let parts = context.head.prefix.iter().map(|part| PlacedPart {
            id: part.id,
            tokens: part.tokens as u32,
        });
        let answer = context.head.tokens.unwrap_or_default().answer;
        let call = PlaceCall {
            pool: context.pool.clone(),
            shard: shard.name().to_string(),
            parts: parts.collect(),
            answer_tokens: answer as u32,
            avoid,
            version: version.unwrap_or_default().to_string(),
            ..Default::default()
        };
        let sent = BootClock.now();
        let coordinator = self.coordinator(&view, WorkKind::Prompts, &shard);
        let reply = match coordinator {
            None => node.place_prompt(self.hub.name().as_str(), &view, &call),
            Some(coordinator) => match self.send_place_call(&coordinator, call).await {
                Ok(reply) => reply,
                Err(failure) => {
                    self.record_failure(node, &coordinator, &shard, &context.id, &failure);
                    return None;
                }
            },
        };
        let expected = Duration::from_millis(reply.expected_ms.into());
        (!reply.endpoint.is_empty()).then_some(PromptPlacement {
            pool: context.pool.clone(),
            shard,
            endpoint: reply.endpoint,
            expected,
            permitted_until: reply.permitted.then(|| sent.plus(PERMIT_VALIDITY)),
        })
    }

    /// Requests a permit to send one request to a limited endpoint.
    ///
    /// If the coordinator does not answer, the permit is requested from the fallback, which issues
    /// permits for a small share of the rate. Cold endpoints have no fallback.
    pub(super) async fn request_permit(
        &self,
        node: &Arc<GatewayNode>,
        context: &RequestContext,
        member: &PoolMember,
        max_wait: Duration,
    ) -> PermitResponse {
        let view = node.view.load_full();
        let (pool, endpoint) = (&context.pool, member.endpoint());
        let (kind, shard) = WorkShard::for_permits(&view, pool, member);
        let call = PlaceCall {
            pool: pool.clone(),
            shard: shard.name().to_string(),
            permit_for: endpoint.to_string(),
            max_wait_ms: max_wait.as_millis() as u32,
            limit: node.limit_notice(pool, endpoint),
            ..Default::default()
        };
        let [coordinator, fallback] = shard.coordinator_and_fallback(kind, &view);
        let is_cold = member.is_cold(Instant::now());
        let fallback = fallback.filter(|_| !is_cold);
        let is_skipped = |entry: &PeerName| fallback.is_some() && self.is_avoided(entry);
        let issuers = [coordinator, fallback.clone()].into_iter().flatten();
        for issuer in issuers.filter(|entry| !is_skipped(entry)) {
            let sent = BootClock.now();
            let reply = match issuer == *self.hub.name() {
                true => Ok(node.place_prompt(issuer.as_str(), &view, &call)),
                false => self.send_place_call(&issuer, call.clone()).await,
            };
            match reply {
                Ok(reply) => {
                    if let Some(limit) = &reply.limit {
                        node.adopt_limit(issuer.as_str(), limit);
                    }
                    return PermitResponse::from_reply(&reply, sent);
                }
                Err(failure) if is_cold => {
                    log_event!(
                        debug,
                        "permit_unanswered",
                        endpoint = endpoint,
                        reason = failure.reason
                    );
                }
                Err(failure) => {
                    self.record_failure(node, &issuer, &shard, &context.id, &failure);
                }
            }
        }
        PermitResponse::Refused { retry_after: None }
    }

    /// Sends a call to a coordinator and returns its reply, or why there is none.
    async fn send_place_call(
        &self,
        coordinator: &PeerName,
        call: PlaceCall,
    ) -> Result<PlaceReply, CoordinatorFailure> {
        let call = WorkCall {
            call: Some(Call::Place(call)),
        };
        let payload = call.encode_to_vec().into();
        let name = coordinator.as_str();
        let answer = self
            .hub
            .call(name, LinkChannel::Work, payload, PLACE_TIMEOUT);
        Ok(PlaceReply::decode(answer.await?)?)
    }

    /// Reports to the coordinator that placed a prompt how long the engine took; `taken` is
    /// `None` if the engine failed.
    pub(super) fn report_placement(
        &self,
        node: &GatewayNode,
        placed: &PromptPlacement,
        taken: Option<Duration>,
    ) {
        let view = node.view.load_full();
        let expected = placed.expected.as_millis().max(1);
        let permille = taken.map_or(0, |taken| taken.as_millis() * 1_000 / expected);
        let report = PlaceReport {
            pool: placed.pool.clone(),
            shard: placed.shard.name().to_string(),
            endpoint: placed.endpoint.clone(),
            taken_permille: permille.min(u128::from(u16::MAX)) as u32,
            failed: taken.is_none(),
        };
        match self.coordinator(&view, WorkKind::Prompts, &placed.shard) {
            None => node.engines.report(&view, &report),
            Some(coordinator) => {
                if !self.notify(&coordinator, Notice::Report(report)) {
                    log_event!(debug, "place_report_lost", coordinator = coordinator);
                }
            }
        }
    }
}
