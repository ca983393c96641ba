use std::sync::{Mutex, MutexGuard, PoisonError};

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use prost::Message;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::coordinator_table::{
    CoordinatorFailure, CoordinatorTable, FailureEvidence, PROBE_INTERVAL, ProbeVerdict,
};
use super::gateway_node::GatewayNode;
use super::gateway_view::GatewayView;
use super::plan_request::PlanRequest;
use super::plan_results::{PlanFailure, PlanResults};
use super::plan_run;
use super::prompt_exchange::PLACE_TIMEOUT;
use super::work_shard::{ShardMap, WorkKind, WorkShard};
use super::{ResultHandle, ReturnTime};
use crate::generated::work::work_call::Call;
use crate::generated::work::work_notice::Notice;
use crate::generated::work::{
    PlaceCall, PlaceReply, PlanEnd, PlanReply, RelayQuery, RelayStanding, ReleaseNotice, WorkCall,
    WorkNotice,
};
use crate::hashing::stable_hash;
use crate::prelude::*;
use crate::quarantine::RequestIdentity;
use crate::transport::{CallRefusal, InboundCall, LinkChannel, LinkClass, LinkHub, PeerName};

/// Timeout of a probe: many round trips in a region.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after a plan's deadline within which its coordinator reports that the deadline has
/// passed.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);

/// Coordinators tried for one plan before this entry executes it on its own.
const MAX_COORDINATORS: usize = 2;

/// Sends plans to the entry that coordinates their shard.
///
/// A call to an endpoint takes nearly as long for one piece as for ten, so entries that make
/// calls separately fill the pools with nearly empty calls. Also, only a coordinator sees all
/// work in progress, which it needs to predict what can be in time.
#[derive(Debug)]
pub(super) struct WorkExchange {
    pub(super) hub: LinkHub,
    coordinators: Mutex<CoordinatorTable>,
}

impl WorkExchange {
    pub(super) fn new(hub: LinkHub) -> Self {
        Self {
            hub,
            coordinators: Mutex::default(),
        }
    }

    /// Has the stages of a request executed: near the data centre of the request if their
    /// results are large, and otherwise in any shard. If they can't be in time there, a second
    /// shard is tried before they are begun late or refused.
    pub(super) async fn execute_plan(
        &self,
        node: &Arc<GatewayNode>,
        mut request: PlanRequest,
    ) -> Result<PlanResults, PlanFailure> {
        let map = node.view.load().shard_map(WorkKind::Stages, "");
        let map = ShardMap::clone(&map).retain_allowed(&request.data_center_filter);
        let ticket = shard_ticket(node.features.appointments, &request);
        let near = match request.has_large_results() {
            true => map.in_data_center(&request.near, ticket),
            false => None,
        };
        let first = near.or_else(|| map.select(ticket, None));
        let first = first.cloned().unwrap_or_default();
        let Some(second) = map.select(ticket.rotate_left(u64::BITS / 2), Some(&first)) else {
            return self.execute_in_shard(node, &first, &mut request).await;
        };
        request.timely_only = true;
        let outcome = self.execute_in_shard(node, &first, &mut request).await;
        let Err(PlanFailure::Overload {
            other_shard, begun, ..
        }) = &outcome
        else {
            node.metrics.record_plan("first");
            return outcome;
        };
        let other_shard = other_shard.as_ref();
        let other_shard = other_shard.filter(|_| node.features.shard_balance);
        let second = match other_shard {
            Some(other) if *other == first => {
                node.metrics.record_plan("decided_here");
                return outcome;
            }
            Some(other) if map.has(other) => {
                node.metrics.record_plan("named");
                other
            }
            Some(_) | None => {
                node.metrics.record_plan("hashed");
                second
            }
        };
        request.is_rerun |= *begun;
        request.timely_only = false;
        // By loads, the caller's return may reach any second shard, but always the same first.
        request.no_reservation = node.features.shard_balance;
        self.execute_in_shard(node, second, &mut request).await
    }

    async fn execute_in_shard(
        &self,
        node: &Arc<GatewayNode>,
        shard: &WorkShard,
        request: &mut PlanRequest,
    ) -> Result<PlanResults, PlanFailure> {
        let mut silent_calls = FuturesUnordered::new();
        for _ in 0..MAX_COORDINATORS {
            let view = node.view.load_full();
            let Some(coordinator) = self.coordinator(&view, WorkKind::Stages, shard) else {
                break;
            };
            let silent = CancellationToken::new();
            let sent = request.clone();
            let call =
                self.call_coordinator(node, coordinator.clone(), shard, sent, silent.clone());
            let mut call = Box::pin(call);
            let failure = tokio::select! {
                outcome = &mut call => match outcome {
                    Ok(outcome) => return outcome,
                    Err(failure) => failure,
                },
                results = next_results(&mut silent_calls, request) => return Ok(results),
                () = silent.cancelled() => {
                    silent_calls.push(call);
                    CoordinatorFailure::unusable("its link is silent; the call goes on")
                }
            };
            let id = &request.request_id;
            self.record_failure(node, &coordinator, shard, id, &failure);
            // It may have sent pieces. They take no retries: what was in progress at one
            // coordinator is sent again once.
            request.is_rerun = true;
            if failure.evidence == FailureEvidence::Late {
                // It keeps its work, and the plan's deadline has passed.
                break;
            }
        }
        tokio::select! {
            outcome = execute_locally(node, shard, request) => outcome,
            results = next_results(&mut silent_calls, request) => Ok(results),
        }
    }

    /// Notifies the coordinator of a shard that results are released. Returns false if this
    /// entry is the coordinator, or if the notice can't be sent.
    pub(super) fn send_released(
        &self,
        node: &GatewayNode,
        shard: &WorkShard,
        handles: &[ResultHandle],
    ) -> bool {
        let view = node.view.load_full();
        let Some(coordinator) = self.coordinator(&view, WorkKind::Stages, shard) else {
            return false;
        };
        self.notify(
            &coordinator,
            Notice::Release(ReleaseNotice {
                shard: shard.name().to_string(),
                handles: to_texts(handles),
            }),
        )
    }

    pub(super) fn notify(&self, coordinator: &PeerName, notice: Notice) -> bool {
        let notice = WorkNotice {
            notice: Some(notice),
        };
        let payload = notice.encode_to_vec().into();
        let name = coordinator.as_str();
        let sent = self
            .hub
            .send_as(name, LinkChannel::Work, LinkClass::Notice, payload);
        sent.is_ok()
    }

    /// Returns the entry that coordinates a shard; `None` if it is this one.
    pub(super) fn coordinator(
        &self,
        view: &GatewayView,
        kind: WorkKind,
        shard: &WorkShard,
    ) -> Option<PeerName> {
        let now = Instant::now();
        let coordinators = self.coordinators();
        let is_usable = |entry: &&PeerName| !coordinators.is_avoided(now, entry);
        let ranked = view.ranked(kind, shard);
        let first = ranked.iter().find(is_usable);
        let among_all = || {
            let usable = view.entries.iter().filter(is_usable);
            shard.coordinator(kind, &view.weights, usable)
        };
        let chosen = first.or_else(among_all)?;
        (chosen != self.hub.name()).then(|| chosen.clone())
    }

    /// Whether an entry is skipped because it recently failed to answer.
    pub(super) fn is_avoided(&self, entry: &PeerName) -> bool {
        self.coordinators().is_avoided(Instant::now(), entry)
    }

    fn coordinators(&self) -> MutexGuard<'_, CoordinatorTable> {
        let coordinators = self.coordinators.lock();
        coordinators.unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a call to a coordinator for a request has failed. It may be avoided from now
    /// on, and is probed.
    pub(super) fn record_failure(
        &self,
        node: &Arc<GatewayNode>,
        coordinator: &PeerName,
        shard: &WorkShard,
        request: &str,
        failure: &CoordinatorFailure,
    ) {
        let evidence = failure.evidence;
        match evidence {
            FailureEvidence::Lost | FailureEvidence::Silent => log_event!(
                info,
                "coordinator_lost",
                request = request,
                shard = shard.name(),
                coordinator = coordinator,
                evidence = evidence.name(),
                reason = failure.reason
            ),
            FailureEvidence::Late => log_event!(
                info,
                "coordinator_late",
                request = request,
                shard = shard.name(),
                coordinator = coordinator,
                reason = failure.reason
            ),
        }
        let now = Instant::now();
        let probe_delay = self
            .coordinators()
            .record_failure(now, coordinator, evidence);
        if let Some(delay) = probe_delay {
            let node = Arc::clone(node);
            let coordinator = coordinator.clone();
            tokio::spawn(async move { node.exchange.probe(&coordinator, delay).await });
        }
    }

    /// Sends empty calls to a suspected entry, the first after `delay`, until it answers or may
    /// be used again.
    async fn probe(&self, entry: &PeerName, delay: Duration) {
        let empty_call = Bytes::from(WorkCall::default().encode_to_vec());
        let mut timeout = PLACE_TIMEOUT;
        tokio::time::sleep(delay).await;
        loop {
            let name = entry.as_str();
            let answer = self
                .hub
                .call(name, LinkChannel::Work, empty_call.clone(), timeout);
            let outcome = answer.await;
            if outcome.is_ok() {
                log_event!(info, "coordinator_back", coordinator = entry);
                self.coordinators().record_answer(entry);
                return;
            }
            match self.coordinators().record_unanswered(Instant::now(), entry) {
                ProbeVerdict::Lost => {
                    log_event!(info, "coordinator_unresponsive", coordinator = entry);
                }
                ProbeVerdict::Avoided => {}
                ProbeVerdict::Expired => return,
            }
            timeout = PROBE_TIMEOUT;
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
    }

    async fn call_coordinator(
        &self,
        node: &Arc<GatewayNode>,
        coordinator: PeerName,
        shard: &WorkShard,
        request: PlanRequest,
        silent: CancellationToken,
    ) -> Result<Result<PlanResults, PlanFailure>, CoordinatorFailure> {
        let now = Instant::now();
        let left = request.deadline.saturating_duration_since(now);
        let call = WorkCall {
            call: Some(Call::Plan(request.to_call(now, shard))),
        };
        let payload = call.encode_to_vec().into();
        let name = coordinator.as_str();
        let timeout = left + ANSWER_MARGIN;
        let channel = LinkChannel::Work;
        let answer = self
            .hub
            .call_through_silence(name, channel, payload, timeout, &silent);
        let reply = PlanReply::decode(answer.await?)?;
        match reply.end() {
            PlanEnd::Made => {
                let handles = reply.handles.into_iter();
                let handles = handles.map(|handle| ResultHandle(handle.into()));
                let results = PlanResults::new(node, shard, handles.collect());
                match results.handles().len() == request.final_result_count() {
                    true => Ok(Ok(results)),
                    false => Err(CoordinatorFailure::unusable(
                        "reply has a different number of results than requested",
                    )),
                }
            }
            PlanEnd::Unspecified => Err(CoordinatorFailure::unusable("reply has no valid outcome")),
            PlanEnd::Late => Ok(Err(PlanFailure::Late)),
            PlanEnd::Overload => Ok(Err(read_overload(&reply))),
            PlanEnd::Failed => Ok(Err(PlanFailure::Failed)),
            PlanEnd::Quarantined => Ok(Err(PlanFailure::Quarantined)),
        }
    }
}

/// Waits until a coordinator that was silent has executed a plan; for ever if none does.
async fn next_results<C>(
    silent_calls: &mut FuturesUnordered<C>,
    request: &PlanRequest,
) -> PlanResults
where
    C: Future<Output = Result<Result<PlanResults, PlanFailure>, CoordinatorFailure>>,
{
    loop {
        match silent_calls.next().await {
            Some(Ok(Ok(results))) => {
                let request = &request.request_id;
                log_event!(info, "silent_coordinator_answered", request = request);
                return results;
            }
            // Others work on the plan, so this one doesn't decide.
            Some(Ok(Err(_)) | Err(_)) => {}
            None => std::future::pending().await,
        }
    }
}

/// Answers the calls of other entries until the hub closes.
pub(super) async fn serve(node: Arc<GatewayNode>, mut calls: mpsc::Receiver<InboundCall>) {
    while let Some(inbound) = calls.recv().await {
        let node = Arc::clone(&node);
        tokio::spawn(async move { serve_call(&node, inbound).await });
    }
}

async fn serve_call(node: &Arc<GatewayNode>, inbound: InboundCall) {
    let InboundCall {
        from,
        payload,
        arrived,
        mut reply,
        ..
    } = inbound;
    let Ok(call) = WorkCall::decode(payload) else {
        reply.refuse(CallRefusal::Malformed);
        return;
    };
    let plan = match call.call {
        None => {
            reply.answer(Bytes::new());
            return;
        }
        Some(Call::Place(call)) => {
            let view = node.view.load_full();
            let placed = node.place_prompt(from.as_str(), &view, &call);
            reply.answer(placed.encode_to_vec().into());
            return;
        }
        Some(Call::OriginQuery(query)) => {
            let origin = node.answer_origin(&query);
            reply.answer(origin.encode_to_vec().into());
            return;
        }
        Some(Call::RetryAsk(ask)) => {
            let grant = node.grant_retries(&ask.pool, ask.count).await;
            reply.answer(grant.encode_to_vec().into());
            return;
        }
        Some(Call::RetryCollect(collect)) => {
            let tokens = node.give_tokens(&collect);
            reply.answer(tokens.encode_to_vec().into());
            return;
        }
        Some(Call::RetryHandover(handover)) => {
            node.adopt_ledger(&from, &handover);
            reply.answer(Bytes::new());
            return;
        }
        Some(Call::RelayQuery(RelayQuery {})) => {
            let standing = RelayStanding {
                relays: Some(node.does_relay()),
            };
            reply.answer(standing.encode_to_vec().into());
            return;
        }
        Some(Call::Plan(plan)) => plan,
    };
    let Some((shard, request)) = PlanRequest::from_call(arrived, plan) else {
        reply.refuse(CallRefusal::Malformed);
        return;
    };
    let outcome = tokio::select! {
        outcome = execute_locally(node, &shard, &request) => outcome,
        () = reply.abandoned() => return,
    };
    let is_delivered = reply.answer(to_reply(&outcome).encode_to_vec().into());
    if let (true, Ok(mut results)) = (is_delivered, outcome) {
        // The calling entry owns the results now, so they are not released here.
        results.take();
    }
}

impl GatewayNode {
    /// Places a prompt at an engine of a shard that this entry coordinates, or issues a
    /// permit for the endpoint named in the call.
    pub(super) fn place_prompt(
        &self,
        from: &str,
        view: &GatewayView,
        call: &PlaceCall,
    ) -> PlaceReply {
        if let Some(limit) = &call.limit {
            self.adopt_limit(from, limit);
        }
        let now = Instant::now();
        let shard = WorkShard::from_name(&call.shard);
        let kind = WorkKind::for_permits(view, &call.pool);
        let permits = self.permit_window(now, &call.pool, kind, &shard);
        let mut reply = self.engines.place(now, view, call, &permits, &self.metrics);
        if !call.permit_for.is_empty() {
            reply.limit = self.limit_notice(&call.pool, &call.permit_for);
        }
        reply
    }
}

/// Returns the ticket by which the shards of a request are drawn. With appointments it is the
/// same when the request is sent again, so that it comes to the shard that reserved its room.
fn shard_ticket(has_appointments: bool, request: &PlanRequest) -> u64 {
    match request.digest.filter(|_| has_appointments) {
        Some(digest) => stable_hash(&[&digest.to_bytes()]),
        None => stable_hash(&[request.request_id.as_bytes()]),
    }
}

fn read_overload(reply: &PlanReply) -> PlanFailure {
    let delay = Duration::from_millis(reply.retry_after_ms.into());
    let return_time = match (reply.hopeless, reply.appointed) {
        (true, _) => ReturnTime::Hopeless,
        (false, true) => ReturnTime::Appointed(delay),
        (false, false) => ReturnTime::After(delay),
    };
    PlanFailure::Overload {
        return_time,
        other_shard: reply.other_shard.as_deref().map(WorkShard::from_name),
        begun: reply.begun,
    }
}

fn to_reply(outcome: &Result<PlanResults, PlanFailure>) -> PlanReply {
    let mut reply = PlanReply::default();
    let end = match outcome {
        Ok(results) => {
            reply.handles = to_texts(results.handles());
            PlanEnd::Made
        }
        Err(PlanFailure::Late) => PlanEnd::Late,
        Err(PlanFailure::Overload {
            return_time,
            other_shard,
            begun,
        }) => {
            let delay = return_time.delay().unwrap_or_default();
            reply.retry_after_ms = delay.as_millis() as u32;
            reply.appointed = matches!(return_time, ReturnTime::Appointed(_));
            reply.hopeless = *return_time == ReturnTime::Hopeless;
            reply.begun = *begun;
            reply.other_shard = other_shard.as_ref().map(|shard| shard.name().to_string());
            PlanEnd::Overload
        }
        Err(PlanFailure::InputGone | PlanFailure::Failed) => PlanEnd::Failed,
        Err(PlanFailure::Quarantined) => PlanEnd::Quarantined,
    };
    reply.end = end.into();
    reply
}

/// Executes the stages of a request at this entry, until the request is quarantined.
async fn execute_locally(
    node: &Arc<GatewayNode>,
    shard: &WorkShard,
    request: &PlanRequest,
) -> Result<PlanResults, PlanFailure> {
    let Some(digest) = request.digest else {
        return admit_and_run(node, shard, request).await;
    };
    // The entry of the request ends its call when a part of the prompt is quarantined.
    let identity = RequestIdentity::new(digest, std::iter::empty());
    tokio::select! {
        biased;
        () = node.until_quarantined(&identity) => Err(PlanFailure::Quarantined),
        outcome = admit_and_run(node, shard, request) => outcome,
    }
}

async fn admit_and_run(
    node: &Arc<GatewayNode>,
    shard: &WorkShard,
    request: &PlanRequest,
) -> Result<PlanResults, PlanFailure> {
    let permit = node.plan_admission(shard).admit(request).await?;
    plan_run::run(node, shard, request, &permit).await
}

fn to_texts(handles: &[ResultHandle]) -> Vec<String> {
    handles.iter().map(|handle| handle.0.to_string()).collect()
}

#[cfg(test)]
#[path = "work_exchange_tests.rs"]
mod tests;
