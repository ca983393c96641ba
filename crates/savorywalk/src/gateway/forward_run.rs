use std::pin::pin;

use http_body_util::BodyExt;
use hyper::body::Frame;
use hyper::http::request;
use hyper::{Response, StatusCode, Version};
use rand::RngExt;
use tokio::sync::watch;

use super::answer_memory::{AnswerBuffer, AnswerHold};
use super::call_handler::{GatewayBody, full_body};
use super::crash_detector::{CallFailure, DecisionWait};
use super::endpoint_call::CallError;
use super::forward_attempt::{AnswerOutcome, AttemptEnd, OpenAnswer, next_frame_of};
use super::forward_plan::HOPELESS_RETRY;
use super::gateway_node::GatewayNode;
use super::gateway_view::GatewayView;
use super::plan_results::PlanResults;
use super::prompt_exchange::PromptPlacement;
use super::request_context::RequestContext;
use super::retry_budget::{RepeatReason, SendToken};
use super::stalled_calls::{
    HANDOVER_PROBE_DELAY, HANDOVER_TIME, HeadResult, MAX_PROBES, PendingCall, ReplacementChance,
    SearchDelay, SilentReplacement, StallEnd, StalledCalls,
};
use super::stream_origins::StreamOrigin;
use super::stream_relay::StreamRelay;
use super::{GatewayRefusal, NotRunReason, PoolMember, RouteKind, RunLedger};
use crate::prelude::*;
use crate::quarantine::{
    CrashSuspect, QUARANTINE_TIME, QuarantineList, RequestDigest, RequestIdentity,
};
use crate::registry::BootTime;

/// Maximum number of sends of one request, including those that were refused without
/// running.
const MAX_SENDS: usize = 3;

/// Retry time after a refusal whose cause will soon be over, and the random part that is
/// added to it so that callers refused together do not retry together.
const RETRY_AFTER: Duration = Duration::from_millis(400);
const RETRY_JITTER_MS: u64 = 500;

pub(super) fn retry_after() -> Duration {
    RETRY_AFTER + Duration::from_millis(rand::rng().random_range(0..RETRY_JITTER_MS))
}

/// Retry time of a request that was refused for `reason`.
fn retry_time(reason: NotRunReason) -> Duration {
    match reason {
        NotRunReason::Quarantined => QUARANTINE_TIME,
        // A later try does not find the stream either.
        NotRunReason::UnknownStream | NotRunReason::StreamMoved => HOPELESS_RETRY,
        NotRunReason::NoDocument
        | NotRunReason::StaleKeys
        | NotRunReason::NoEndpoint
        | NotRunReason::Denied
        | NotRunReason::Overload
        | NotRunReason::StageFailed
        | NotRunReason::MemoryFull
        | NotRunReason::BodyLate
        | NotRunReason::TimeOver
        | NotRunReason::RateLimited
        | NotRunReason::BackedOff
        | NotRunReason::VersionGone
        | NotRunReason::Stopping => retry_after(),
    }
}

/// What the next send of a request takes.
#[derive(Debug)]
pub(super) enum NextSend {
    /// The request has not been sent, and this is the token of its first send.
    First(SendToken),
    /// The request may have reached an endpoint; a further send takes a retry from the budget.
    Repeat(RepeatReason),
}

/// How far the last send has got.
#[derive(Clone, Debug, Default)]
pub(super) enum SendState {
    /// No send is in progress.
    #[default]
    Idle,
    /// This endpoint is chosen, and nothing was sent to it yet.
    Opening(Arc<str>),
    /// The request was sent to this endpoint.
    Sent(Arc<PoolMember>),
}

impl SendState {
    /// Whether the request was sent to `member`, and nothing has ended the send.
    fn is_sent_to(&self, member: &Arc<PoolMember>) -> bool {
        match self {
            Self::Sent(sent) => Arc::ptr_eq(sent, member),
            Self::Idle | Self::Opening(_) => false,
        }
    }
}

/// Waits until a request is sent, and returns its endpoint; `None` once the request has ended.
async fn wait_until_sent(states: &mut watch::Receiver<SendState>) -> Option<Arc<PoolMember>> {
    let is_sent = |state: &SendState| matches!(state, SendState::Sent(_));
    let state = states.wait_for(is_sent).await.ok()?;
    match &*state {
        SendState::Sent(member) => Some(Arc::clone(member)),
        SendState::Idle | SendState::Opening(_) => None,
    }
}

/// One request that is being forwarded to an endpoint.
#[derive(Debug)]
pub(super) struct ForwardRun {
    pub(super) node: Arc<GatewayNode>,
    pub(super) context: RequestContext,
    pub(super) parts: request::Parts,
    pub(super) body: Bytes,
    pub(super) identity: RequestIdentity,
    /// The quarantine lists that this entry had at the last send.
    pub(super) list_at_send: Arc<QuarantineList>,
    /// Whether the answer to the last send has begun.
    pub(super) has_answer_begun: bool,
    pub(super) ledger: RunLedger,
    pub(super) next_send: NextSend,
    pub(super) send_state: watch::Sender<SendState>,
    /// Since when the endpoint that the next send would replace has been silent.
    pub(super) stalled_since: Option<Instant>,
    /// Whether the stages were executed, at least in part.
    pub(super) has_run_stages: bool,
    pub(super) results: Option<PlanResults>,
    /// Origin of the stream, once it has begun: only its endpoints may continue it.
    pub(super) origin: Option<StreamOrigin>,
    /// Placement of the last attempt, if a coordinator chose its engine.
    pub(super) placement: Option<PromptPlacement>,
    /// Expiry of the permit for the chosen endpoint, if it has a limit.
    pub(super) permitted_until: Option<BootTime>,
    /// Shortest time until a permit is available, if all permits were refused.
    pub(super) permit_retry_after: Option<Duration>,
    /// Pending decision of control on the call that failed last; a resend waits for it.
    pub(super) decision: Option<DecisionWait>,
    /// Error answer of an endpoint, returned if no other endpoint answers successfully.
    pub(super) last_answer: Option<Response<Bytes>>,
}

impl ForwardRun {
    /// Creates the run of a request whose body was read; nothing is sent yet.
    pub(super) fn new(
        node: Arc<GatewayNode>,
        context: RequestContext,
        parts: request::Parts,
        body: Bytes,
        token: SendToken,
    ) -> Self {
        let host = &context.route.host;
        let digest = RequestDigest::from_request(&parts, host, &context.caller, &body);
        let prompt = context.head.prefix.iter().map(|part| part.id);
        Self {
            identity: RequestIdentity::new(digest, prompt),
            list_at_send: Arc::default(),
            has_answer_begun: false,
            node,
            context,
            parts,
            body,
            ledger: RunLedger::default(),
            next_send: NextSend::First(token),
            send_state: watch::Sender::default(),
            stalled_since: None,
            has_run_stages: false,
            results: None,
            origin: None,
            placement: None,
            permitted_until: None,
            permit_retry_after: None,
            decision: None,
            last_answer: None,
        }
    }

    /// Executes the stages, then sends the request until an endpoint answers it or no
    /// further send is allowed.
    pub(super) async fn serve(mut self) -> Result<Response<GatewayBody>, GatewayRefusal> {
        self.check_quarantine()?;
        self.find_origin().await?;
        self.execute_stages().await?;
        self.send_until_answered().await
    }

    pub(super) fn refuse(&self, reason: NotRunReason) -> GatewayRefusal {
        match self.ledger.not_run() {
            Some(proof) => GatewayRefusal::NotRun {
                proof,
                reason,
                retry_after: Some(retry_time(reason)),
            },
            None if self.context.remaining(Instant::now()).is_zero() => GatewayRefusal::TimedOut,
            None => GatewayRefusal::OutcomeUnknown,
        }
    }

    /// Refuses a request for which no endpoint is available, with the time until the next
    /// permit, or until the first back-off ends.
    pub(super) fn refuse_unplaced(&self, view: &GatewayView) -> GatewayRefusal {
        let limited = self.permit_retry_after;
        let limited = limited.map(|wait| (NotRunReason::RateLimited, wait));
        let backed_off = self.shortest_backoff(view);
        let backed_off = backed_off.map(|wait| (NotRunReason::BackedOff, wait));
        match (limited.or(backed_off), self.ledger.not_run()) {
            (Some((reason, wait)), Some(proof)) => GatewayRefusal::NotRun {
                proof,
                reason,
                retry_after: Some(wait + retry_after()),
            },
            (Some(_), None) | (None, _) => self.refuse(NotRunReason::NoEndpoint),
        }
    }

    /// Refuses a quarantined request, at any step of its run.
    pub(super) fn check_quarantine(&self) -> Result<(), GatewayRefusal> {
        match self.node.quarantine_list().find(&self.identity) {
            Some(_) => Err(self.refuse_quarantined()),
            None => Ok(()),
        }
    }

    /// Waits for control's decision on the previous crash, so that the third crash under a
    /// request is not followed by a fourth.
    pub(super) async fn await_decision(&mut self) -> Result<(), GatewayRefusal> {
        if let Some(decision) = self.decision.take() {
            decision.wait().await;
        }
        self.check_quarantine()
    }

    pub(super) fn refuse_quarantined(&self) -> GatewayRefusal {
        let suspect = self.node.quarantine_list().find(&self.identity);
        // A coordinator may have refused the request by a newer list.
        let suspect = suspect.unwrap_or(CrashSuspect::Request(self.identity.digest));
        self.node.crash_detector.record_refused(suspect);
        log_event!(
            info,
            "quarantine_met",
            request = self.context.id,
            digest = self.identity.digest,
            suspect = suspect,
            sends = self.ledger.sends()
        );
        self.refuse(NotRunReason::Quarantined)
    }

    async fn send_until_answered(mut self) -> Result<Response<GatewayBody>, GatewayRefusal> {
        let mut stage_reruns = 0;
        let mut stalled = StalledCalls::default();
        loop {
            let last_event = self.context.head.last_event;
            match self.attempt_beside(last_event, &mut stalled).await {
                Ok(AttemptEnd::Open(open)) => match self.handle_answer(*open).await {
                    AnswerOutcome::Whole(response) => return Ok(response),
                    AnswerOutcome::Stream(open) => return self.relay_stream(*open).await,
                    AnswerOutcome::Lost => {}
                },
                Ok(AttemptEnd::Failed(response)) => {
                    self.set_repeat_reason(RepeatReason::Failed);
                    self.last_answer = Some(response);
                }
                Ok(AttemptEnd::InputsGone) if stage_reruns == 0 => {
                    stage_reruns += 1;
                    self.set_repeat_reason(RepeatReason::InputsGone);
                    if self.may_send_again() {
                        self.execute_stages().await?;
                        continue;
                    }
                }
                Ok(AttemptEnd::Stalled(call)) => {
                    self.set_repeat_reason(RepeatReason::Stalled);
                    stalled.push(*call);
                    continue;
                }
                Ok(AttemptEnd::Unsent) if self.ledger.sends() < MAX_SENDS => continue,
                Ok(AttemptEnd::Denied) => self.set_repeat_reason(RepeatReason::Denied),
                Ok(AttemptEnd::InputsGone) => self.set_repeat_reason(RepeatReason::InputsGone),
                Ok(AttemptEnd::Unsent | AttemptEnd::Lost) => {}
                Ok(AttemptEnd::OverBudget) => {
                    let refusal = self.refuse(NotRunReason::Denied);
                    return self.finish_refused(refusal);
                }
                Err(refusal) => return self.finish_refused(refusal),
            }
            if !self.may_send_again() {
                let refusal = self.refuse(NotRunReason::Denied);
                return self.finish_refused(refusal);
            }
        }
    }

    /// Sends the request to another endpoint, while calls that have stalled stay open. The first
    /// success ends all other calls; after a send that fails, another endpoint is sought.
    pub(super) async fn attempt_beside(
        &mut self,
        last_event: Option<u64>,
        stalled: &mut StalledCalls,
    ) -> Result<AttemptEnd, GatewayRefusal> {
        let Some(oldest) = stalled.oldest() else {
            return self.attempt(last_event).await;
        };
        let before = self.stalled_since;
        self.stalled_since = before.into_iter().chain([oldest]).min();
        let end = self.race_stalled(last_event, stalled).await;
        self.stalled_since = before;
        end
    }

    async fn race_stalled(
        &mut self,
        last_event: Option<u64>,
        stalled: &mut StalledCalls,
    ) -> Result<AttemptEnd, GatewayRefusal> {
        let mut delay = SearchDelay::default();
        loop {
            let (list_at_send, has_answer_begun) =
                (Arc::clone(&self.list_at_send), self.has_answer_begun);
            let race = self.race_once(last_event, stalled).await;
            for endpoint in race.replaced {
                self.report_replaced(&endpoint);
            }
            let mut end = match race.end {
                RacedEnd::Next(end) => end,
                RacedEnd::Silent(member) => {
                    self.withdraw(&member);
                    self.list_at_send = list_at_send;
                    self.has_answer_begun = has_answer_begun;
                    Ok(AttemptEnd::Unsent)
                }
                RacedEnd::Cut(endpoint, reason) => {
                    let failure = Some(CallFailure::Cut);
                    self.record_failure(&endpoint, failure, &reason).await;
                    self.list_at_send = list_at_send;
                    self.has_answer_begun = has_answer_begun;
                    Ok(AttemptEnd::Lost)
                }
                RacedEnd::Stalled(call, result) => {
                    self.cancel_attempt();
                    self.list_at_send = list_at_send;
                    self.has_answer_begun = has_answer_begun;
                    self.end_pending(*call, result).await
                }
            };
            // Stalled calls that came to nothing while the other one was still in progress.
            for (call, result) in race.useless {
                let useless = self.end_pending(call, result).await?;
                if let (AttemptEnd::Failed(response), Ok(AttemptEnd::Lost)) = (useless, &end) {
                    end = Ok(AttemptEnd::Failed(response));
                }
            }
            let is_final = match &end {
                Ok(AttemptEnd::Open(_) | AttemptEnd::Failed(_) | AttemptEnd::Stalled(_)) => true,
                Ok(
                    AttemptEnd::Denied
                    | AttemptEnd::InputsGone
                    | AttemptEnd::Unsent
                    | AttemptEnd::OverBudget
                    | AttemptEnd::Lost,
                ) => false,
                Err(_) => self.check_quarantine().is_err(),
            };
            if is_final || stalled.is_empty() {
                return end;
            }
            self.ledger.forget_denials();
            if let Some(end) = self.await_stalled(stalled, delay.after_refusal()).await {
                return end;
            }
        }
    }

    /// Sends the request once more beside the stalled calls. A stalled call that fails or refuses
    /// does not end the race, since the other one may succeed; neither does the head of a stream, which
    /// an engine may send before it reads the prompt.
    async fn race_once(&mut self, last_event: Option<u64>, stalled: &mut StalledCalls) -> CallRace {
        let is_stream = matches!(self.context.route.kind, RouteKind::Stream { .. });
        let handover = self.begin_handover();
        let (mut useless, mut replaced) = (Vec::new(), Vec::new());
        let mut attempting = pin!(self.attempt(last_event));
        let mut handover = pin!(handover);
        let mut opened: Option<Box<OpenAnswer>> = None;
        let end = loop {
            if let Some(open) = opened.take_if(|_| stalled.is_empty()) {
                break RacedEnd::Next(Ok(AttemptEnd::Open(open)));
            }
            tokio::select! {
                biased;
                (call, result) = stalled.next(), if !stalled.is_empty() => match &result {
                    Ok((_, response)) if response.status().is_success() => {
                        break RacedEnd::Stalled(Box::new(call), result);
                    }
                    Ok(_) | Err(_) => useless.push((call, result)),
                },
                end = &mut attempting, if opened.is_none() => match end {
                    Ok(AttemptEnd::Open(open)) if is_stream => opened = Some(open),
                    end => break RacedEnd::Next(end),
                },
                frame = next_frame_of(&mut opened) => if let Some(mut open) = opened.take() {
                    if let Some(reason) = open.cut_reason(&frame) {
                        break RacedEnd::Cut(open.endpoint, reason);
                    }
                    open.early = Some(frame);
                    break RacedEnd::Next(Ok(AttemptEnd::Open(open)));
                },
                end = &mut handover, if is_stream && !stalled.is_empty() => match end {
                    HandoverEnd::Complete => replaced.extend(stalled.finish_replaced()),
                    HandoverEnd::Silent(member) => break RacedEnd::Silent(member),
                },
            }
        };
        if let RacedEnd::Next(Ok(AttemptEnd::Open(_))) = end {
            replaced.extend(stalled.finish_replaced());
        }
        CallRace {
            end,
            useless,
            replaced,
        }
    }

    /// Waits for the answer to one of the stalled calls. Ends without one when another endpoint may
    /// be sought, after `search_delay` at the earliest.
    async fn await_stalled(
        &mut self,
        stalled: &mut StalledCalls,
        search_delay: Duration,
    ) -> Option<Result<AttemptEnd, GatewayRefusal>> {
        let node = Arc::clone(&self.node);
        let identity = self.identity.clone();
        let deadline = self.context.deadline;
        let mut next_search = Instant::now() + search_delay;
        while let Some(oldest) = stalled.oldest() {
            let wake_at = next_search.min(deadline).into();
            let ended = tokio::select! {
                biased;
                () = node.until_quarantined(&identity) => {
                    return Some(Err(self.refuse_quarantined()));
                }
                ended = stalled.next() => Some(ended),
                () = node.stop.until_sent_answered() => {
                    return Some(Err(self.refuse(NotRunReason::Stopping)));
                }
                () = tokio::time::sleep_until(wake_at) => None,
            };
            if let Some((call, result)) = ended {
                let end = self.end_pending(call, result).await;
                let has_answered = matches!(end, Ok(AttemptEnd::Open(_) | AttemptEnd::Failed(_)));
                if has_answered || stalled.is_empty() {
                    return Some(end);
                }
            } else if self.context.remaining(Instant::now()).is_zero() {
                break;
            } else {
                next_search = match self.find_replacement(oldest.elapsed()) {
                    ReplacementChance::Likely => return None,
                    ReplacementChance::NoEndpoint => Instant::now() + SearchDelay::AFTER_NONE,
                    ReplacementChance::Denied => Instant::now() + search_delay,
                };
            }
        }
        for mut call in stalled.take() {
            call.finish_stall(StallEnd::Failed);
            if let Err(refusal) = self.end_silent(call.endpoint()).await {
                return Some(Err(refusal));
            }
        }
        Some(Ok(AttemptEnd::Lost))
    }

    /// Returns a future that ends when either the next send, or the call that it replaces, has to be
    /// dropped.
    pub(super) fn begin_handover(&mut self) -> impl Future<Output = HandoverEnd> + use<> {
        self.send_state = watch::Sender::default();
        let mut states = self.send_state.subscribe();
        let node = Arc::clone(&self.node);
        async move {
            while let Some(member) = wait_until_sent(&mut states).await {
                let ends_at = Instant::now() + HANDOVER_TIME;
                tokio::time::sleep(HANDOVER_PROBE_DELAY).await;
                let is_alive = node.answers_probe(&member).await;
                tokio::time::sleep_until(ends_at.into()).await;
                let is_still_sent = states.borrow().is_sent_to(&member);
                match is_alive {
                    _ if !is_still_sent => {}
                    true => return HandoverEnd::Complete,
                    false => return HandoverEnd::Silent(member),
                }
            }
            std::future::pending().await
        }
    }

    /// Whether an endpoint that may take the stream over is alive, before any stage is made for it.
    async fn has_live_replacement(&self) -> bool {
        for _ in 0..MAX_PROBES {
            let member = self.pick_any(&self.node.view.load());
            let Some(member) = member else {
                return false;
            };
            if self.is_proven(&member) || self.node.answers_probe(&member).await {
                return true;
            }
            self.record_silent_replacement(member.endpoint(), SilentReplacement::BeforeSend);
        }
        false
    }

    /// Records that the request was withdrawn from an endpoint that was to replace another one and has
    /// fallen silent itself.
    pub(super) fn withdraw(&mut self, member: &PoolMember) {
        let endpoint = member.endpoint();
        self.send_state.send_replace(SendState::Idle);
        self.ledger.record_withdrawal(endpoint);
        self.record_silent_replacement(endpoint, SilentReplacement::AfterSend);
    }

    /// Records that an endpoint that was to replace another one answered no probe.
    pub(super) fn record_silent_replacement(&self, endpoint: &str, found: SilentReplacement) {
        let node = &self.node;
        node.scores.progress.record_silent_probe(endpoint);
        node.metrics
            .record_silent_replacement(&self.context.pool, found);
        log_event!(
            info,
            "replacement_silent",
            request = self.context.id,
            endpoint = endpoint,
            found = found.name()
        );
    }

    /// Records that an attempt was cancelled because an earlier call went on.
    pub(super) fn cancel_attempt(&mut self) {
        match self.send_state.send_replace(SendState::Idle) {
            SendState::Opening(endpoint) => {
                self.ledger.record_denial(&endpoint);
                self.ledger.forget_denials();
            }
            SendState::Sent(member) => self.ledger.record_withdrawal(member.endpoint()),
            SendState::Idle => {}
        }
    }

    /// Sets the reason for the next send, if the request has been sent.
    pub(super) fn set_repeat_reason(&mut self, reason: RepeatReason) {
        match &mut self.next_send {
            NextSend::First(_) => {}
            NextSend::Repeat(known) => *known = reason,
        }
    }

    /// Takes the token of a send that follows at once: that of the first send, or a retry from the
    /// budget.
    pub(super) async fn take_token(&mut self) -> Result<SendToken, CallError> {
        let next = NextSend::Repeat(RepeatReason::Lost);
        let reason = match std::mem::replace(&mut self.next_send, next) {
            NextSend::First(token) => return Ok(token),
            NextSend::Repeat(reason) => reason,
        };
        let node = &self.node;
        let token = node.take_retry(&self.context.pool, &self.context.id, reason);
        token.await.ok_or(CallError::OverBudget)
    }

    /// Returns the endpoint's own error answer if there is one and the request may have
    /// run, else the gateway's refusal.
    fn finish_refused(
        self,
        refusal: GatewayRefusal,
    ) -> Result<Response<GatewayBody>, GatewayRefusal> {
        match self.last_answer {
            Some(response) if self.ledger.not_run().is_none() => Ok(response.map(full_body)),
            Some(_) | None => Err(refusal),
        }
    }

    /// Whether the request may be sent to another endpoint, and the retry budget probably allows it.
    pub(super) fn may_send_again(&self) -> bool {
        self.has_send_left() && self.has_token()
    }

    /// Whether the request may be sent to another endpoint, as far as its route and its time go.
    pub(super) fn has_send_left(&self) -> bool {
        let route = &self.context.route;
        let runs = self.ledger.runs();
        let is_allowed = runs == 0 || route.kind.is_retryable();
        let has_spare_endpoint = self.ledger.has_spare_endpoint(route.max_endpoints as usize);
        let is_within = has_spare_endpoint && self.ledger.sends() < MAX_SENDS;
        let has_time = !self.context.remaining(Instant::now()).is_zero();
        is_allowed && is_within && has_time
    }

    /// Whether there probably is a token for the next send.
    fn has_token(&self) -> bool {
        let pool = &self.context.pool;
        match self.next_send {
            NextSend::First(_) => true,
            NextSend::Repeat(_) if self.node.retry_gate.may_retry(pool) => true,
            NextSend::Repeat(reason) => {
                let request = &self.context.id;
                self.node.record_retry_denied(pool, request, reason);
                false
            }
        }
    }

    /// Relays a stream to the caller as it arrives.
    ///
    /// An HTTP/1.0 caller knows no chunks and would take the end of a broken connection for the end
    /// of the stream, so it gets the whole stream with a length.
    async fn relay_stream(self, open: OpenAnswer) -> Result<Response<GatewayBody>, GatewayRefusal> {
        let knows_chunks = self.parts.version >= Version::HTTP_11;
        let (parts, body) = open.response.into_parts();
        let headers = self.node.wire.caller_headers(&parts);
        let status = parts.status;
        let response = Response::from_parts(parts, body);
        let hold = self.node.answer_memory.hold();
        let relay = StreamRelay::start(self, OpenAnswer { response, ..open });
        let mut body = relay.into_body();
        if !knows_chunks {
            body = collect_stream(body, hold).await?;
        }
        let mut response = Response::new(body);
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        Ok(response)
    }

    /// Releases the results of the stages, which the endpoint has fetched.
    pub(super) fn release_results(&mut self) {
        self.results = None;
    }

    /// Sends the request to another endpoint, which continues after `last_event`.
    pub(super) async fn resume(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<OpenAnswer, ResumeRefusal> {
        self.set_repeat_reason(RepeatReason::Resumed);
        if !self.has_origin_endpoint(&self.node.view.load()) {
            return Err(ResumeRefusal::NoEndpoint);
        }
        if !self.may_send_again() {
            return Err(ResumeRefusal::NoSendLeft);
        }
        self.await_decision().await?;
        let makes_stages = self.results.is_none() && !self.context.route.stages.is_empty();
        if makes_stages && self.must_probe_first() && !self.has_live_replacement().await {
            return Err(ResumeRefusal::Silent);
        }
        let last_event = last_event.or(self.context.head.last_event);
        let mut stalled = StalledCalls::default();
        let mut has_rerun_stages = self.results.is_none();
        loop {
            if self.results.is_none() {
                self.execute_stages().await?;
            }
            return match self.attempt_beside(last_event, &mut stalled).await? {
                AttemptEnd::Stalled(call) => {
                    stalled.push(*call);
                    continue;
                }
                // The results were kept from an earlier search.
                AttemptEnd::InputsGone if !std::mem::replace(&mut has_rerun_stages, true) => {
                    self.release_results();
                    continue;
                }
                AttemptEnd::Open(open) => Ok(*open),
                AttemptEnd::Failed(response) => Err(ResumeRefusal::Failed(response.status())),
                AttemptEnd::Denied => Err(ResumeRefusal::Denied),
                AttemptEnd::InputsGone => Err(ResumeRefusal::InputsGone),
                AttemptEnd::Unsent => Err(ResumeRefusal::Unsent),
                AttemptEnd::OverBudget => Err(ResumeRefusal::OverBudget),
                AttemptEnd::Lost => Err(ResumeRefusal::Lost),
            };
        }
    }
}

/// Why a stream was not resumed.
#[derive(Clone, Debug, Error)]
pub(super) enum ResumeRefusal {
    #[error("the route resumes no streams")]
    NotResumable,
    #[error("events are too large to be resumed within")]
    WithinEvent,
    #[error("no endpoint has the version that began the stream")]
    NoEndpoint,
    #[error("no further send is allowed")]
    NoSendLeft,
    #[error("the retry budget is used up")]
    OverBudget,
    #[error("refused before the send: {0:?}")]
    Refused(GatewayRefusal),
    #[error("the endpoint answered with status {0}")]
    Failed(StatusCode),
    #[error("the endpoint did not run it")]
    Denied,
    #[error("results of its stages are gone")]
    InputsGone,
    #[error("no connection to the endpoint")]
    Unsent,
    #[error("the answer of the endpoint was lost")]
    Lost,
    #[error("the endpoint is silent as well")]
    Silent,
}

impl From<GatewayRefusal> for ResumeRefusal {
    fn from(refusal: GatewayRefusal) -> Self {
        Self::Refused(refusal)
    }
}

/// What became of calls of one request that were in progress at the same time.
struct CallRace {
    end: RacedEnd,
    /// Stalled calls that have failed or refused.
    useless: Vec<(PendingCall, HeadResult)>,
    /// Endpoints whose stalled calls were replaced.
    replaced: Vec<String>,
}

/// The call that has ended the race.
enum RacedEnd {
    /// A stalled call, with the head of a success.
    Stalled(Box<PendingCall>, HeadResult),
    /// The attempt beside it.
    Next(Result<AttemptEnd, GatewayRefusal>),
    /// The endpoint of the attempt beside it has fallen silent.
    Silent(Arc<PoolMember>),
    /// The attempt beside it, at this endpoint, was cut after the head of its answer for this reason.
    Cut(String, String),
}

/// How a handover ended.
#[derive(Debug)]
pub(super) enum HandoverEnd {
    /// The replacement is alive, so the stalled call has to be dropped.
    Complete,
    /// The replacement is silent as well, so it has to be dropped.
    Silent(Arc<PoolMember>),
}

/// Reads a stream to its end, as the body of an answer with a length.
async fn collect_stream(
    mut body: GatewayBody,
    hold: AnswerHold,
) -> Result<GatewayBody, GatewayRefusal> {
    let mut buffer = AnswerBuffer::new(hold);
    while let Some(frame) = body.frame().await {
        let data = frame.map(Frame::into_data);
        let added = match data {
            Ok(Ok(data)) => buffer.push(&data).map_err(|limit| limit.to_string()),
            Ok(Err(_)) => Err("a frame without data".to_string()),
            Err(error) => Err(error.to_string()),
        };
        if let Err(reason) = added {
            log_event!(info, "stream_not_collected", reason = reason);
            return Err(GatewayRefusal::OutcomeUnknown);
        }
    }
    Ok(buffer.into_body())
}
