use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use hyper::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use hyper::{Request, Response};

use super::answer_memory::read_complete;
use super::call_handler::GatewayBody;
use super::crash_detector::{CallFailure, FailedCall};
use super::endpoint_call::{CallError, EndpointCall};
use super::forward_run::{ForwardRun, SendState};
use super::gateway_view::GatewayView;
use super::plan_results::PlanResults;
use super::prompt_exchange::PromptPlacement;
use super::retry_budget::RepeatReason;
use super::stalled_calls::{
    HeadResult, OpenedCall, PendingCall, ProgressGuard, ReplacementChance, SearchDelay,
    SilentReplacement, StallEnd, StallRecord,
};
use super::{
    EndpointHead, EndpointTarget, ForwardHeaders, GatewayRefusal, NotRunReason, PoolMember,
    RouteKind, engine_rank,
};
use crate::prelude::*;
use crate::quarantine::SuspectRequest;
use crate::registry::{BootClock, BootTime};
use crate::routing::{AttemptReport, OutstandingGuard};

/// Time without a head, or a whole body, after which a call has stalled, in multiples of the route's
/// objective. At a healthy endpoint only a small part of requests takes over twice the objective, at
/// a hanging one all do. See docs/design/stalled-calls.md.
const STALL_OBJECTIVES: u32 = 2;

/// Shortest time after which a call has stalled: a few scheduling delays of a loaded VM.
const MIN_STALL: Duration = Duration::from_millis(300);

/// An answer whose head has arrived, with the connection and the guard that must be kept as
/// long as its body.
#[derive(Debug)]
pub(super) struct OpenAnswer {
    pub(super) response: Response<Incoming>,
    /// What the endpoint reported in the head.
    pub(super) head: EndpointHead,
    pub(super) endpoint: String,
    /// Version of the endpoint's software; `None` if unknown.
    pub(super) version: Option<Arc<str>>,
    pub(super) started: Instant,
    pub(super) call: EndpointCall,
    pub(super) guard: OutstandingGuard,
    pub(super) progress: ProgressGuard,
    /// What was read of the body of a stream before it took the place of a stalled call.
    pub(super) early: Option<SourceFrame>,
}

/// What an endpoint's connection gives next; `None` at the end of the answer.
pub(super) type SourceFrame = Option<Result<Frame<Bytes>, hyper::Error>>;

impl OpenAnswer {
    /// Waits for the next frame of the body. Cancelling the wait loses nothing.
    pub(super) async fn frame(&mut self) -> SourceFrame {
        match self.early.take() {
            Some(frame) => frame,
            None => self.response.body_mut().frame().await,
        }
    }

    /// Why the answer was cut, if its first frame shows it: an error, or an end that only the end of the
    /// connection shows.
    pub(super) fn cut_reason(&self, frame: &SourceFrame) -> Option<String> {
        match frame {
            Some(Ok(_)) => None,
            Some(Err(error)) => Some(error.to_string()),
            None if is_delimited(self.response.headers()) => None,
            None => Some("the connection ended after the head".to_string()),
        }
    }
}

/// Waits for the next frame of a replacement; for ever without one.
pub(super) async fn next_frame_of(opened: &mut Option<Box<OpenAnswer>>) -> SourceFrame {
    match opened {
        Some(open) => open.frame().await,
        None => std::future::pending().await,
    }
}

/// How an attempt ended, before the body of a successful answer is read.
pub(super) enum AttemptEnd {
    /// The head of a successful answer has arrived, and it is from the endpoint.
    Open(Box<OpenAnswer>),
    /// The endpoint answered with an error status.
    Failed(Response<Bytes>),
    /// The endpoint has not run the request, because it lacks capacity or is another
    /// incarnation than the intended one.
    Denied,
    /// The endpoint has not run the request, because results of its stages are no longer available.
    InputsGone,
    /// Nothing was sent.
    Unsent,
    /// Nothing was sent, and the retry budget allows no further send.
    OverBudget,
    /// The request may have run, and its answer is lost.
    Lost,
    /// The endpoint has been silent for long, and another one is better off. The call stays open.
    Stalled(Box<PendingCall>),
}

/// A single attempt at one endpoint, and the reports on its outcome.
impl ForwardRun {
    /// Time after which a call without a head, or a whole body, has stalled.
    pub(super) fn stall_limit(&self) -> Duration {
        (self.context.route.objective * STALL_OBJECTIVES).max(MIN_STALL)
    }

    /// Whether the request may be sent again now, to an endpoint that is better off than one that
    /// has been silent for `stall`.
    pub(super) fn find_replacement(&self, stall: Duration) -> ReplacementChance {
        let route = &self.context.route;
        let has_spare_run = self.ledger.has_spare_endpoint(route.max_endpoints as usize);
        let may_run = route.kind.is_retryable() && has_spare_run;
        match may_run && self.has_better_endpoint(stall) {
            false => ReplacementChance::NoEndpoint,
            true if self.may_send_again() => ReplacementChance::Likely,
            true => ReplacementChance::Denied,
        }
    }

    /// Sends the request to the best endpoint that has not received it yet.
    pub(super) async fn attempt(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<AttemptEnd, GatewayRefusal> {
        self.await_decision().await?;
        let view = self.node.view.load_full();
        if self.context.remaining(Instant::now()).is_zero() {
            return Err(self.refuse(NotRunReason::TimeOver));
        }
        let node = Arc::clone(&self.node);
        let identity = self.identity.clone();
        let may_have_run = self.ledger.not_run().is_none();
        let chosen = tokio::select! {
            chosen = self.choose(&view) => Some(chosen),
            () = node.until_quarantined(&identity) => None,
            () = node.stop.until_unsent_refused(), if !may_have_run => {
                return Err(self.refuse(NotRunReason::Stopping));
            }
        };
        let Some(chosen) = chosen else {
            return Err(self.refuse_quarantined());
        };
        let Some(member) = chosen else {
            return Err(self.refuse_unplaced(&view));
        };
        self.check_quarantine()?;
        self.list_at_send = self.node.quarantine_list();
        self.has_answer_begun = false;
        let endpoint = member.endpoint().to_string();
        let guard = self.node.scores.outstanding.begin_attempt(&endpoint);
        let started = Instant::now();
        self.ledger.record_send(&endpoint);
        let opening = SendState::Opening(Arc::from(endpoint.as_str()));
        self.send_state.send_replace(opening);
        log_event!(
            debug,
            "attempt_sent",
            request = self.context.id,
            endpoint = endpoint,
            sends = self.ledger.sends(),
            expected_ms = format!(
                "{:?}",
                self.placement.as_ref().map(PromptPlacement::expected_ms)
            ),
            remaining_ms = self.context.remaining(started).as_millis()
        );
        let limit = self.context.remaining(started);
        let sending = self.send_to(&member, last_event, started, guard);
        let sent = tokio::select! {
            // A request that is quarantined while its connection opens is not sent on it.
            biased;
            () = node.until_quarantined(&identity) => {
                return Err(self.refuse_quarantined());
            }
            sent = tokio::time::timeout(limit, sending) => sent,
            () = node.stop.until_sent_answered() => {
                return Err(self.refuse(NotRunReason::Stopping));
            }
        };
        match sent {
            Ok(Ok(pending)) => self.await_head(pending, last_event).await,
            Ok(Err(error)) => self.end_call(&view, &endpoint, error).await,
            Err(_) => self.end_silent(&endpoint).await,
        }
    }

    /// Waits for the head of an answer until the call stalls and may be replaced.
    async fn await_head(
        &mut self,
        mut pending: PendingCall,
        last_event: Option<u64>,
    ) -> Result<AttemptEnd, GatewayRefusal> {
        let node = Arc::clone(&self.node);
        let identity = self.identity.clone();
        let deadline = self.context.deadline;
        let mut limit = match self.context.route.kind.is_retryable() {
            true => pending.started + self.stall_limit(),
            false => deadline,
        };
        let mut delay = SearchDelay::default();
        loop {
            let wake_at = tokio::time::Instant::from_std(limit.min(deadline));
            let result = tokio::select! {
                biased;
                // Cancelling the request may prevent a crash if the endpoint has not begun it.
                () = node.until_quarantined(&identity) => {
                    return Err(self.refuse_quarantined());
                }
                result = pending.head() => Some(result),
                () = node.stop.until_sent_answered() => {
                    return Err(self.refuse(NotRunReason::Stopping));
                }
                () = tokio::time::sleep_until(wake_at) => None,
            };
            match result {
                // The endpoint may have closed a cached connection.
                Some(Err(CallError::Broken(reason))) if pending.was_cached => {
                    let member = Arc::clone(&pending.member);
                    let started = pending.started;
                    let sending = self.send_over_new(&member, last_event, started, &reason);
                    match sending.await {
                        Ok(next) => pending = next,
                        Err(error) => {
                            let view = node.view.load_full();
                            return self.end_call(&view, member.endpoint(), error).await;
                        }
                    }
                }
                Some(result) => return self.end_pending(pending, result).await,
                None if self.context.remaining(Instant::now()).is_zero() => {
                    pending.finish_stall(StallEnd::Failed);
                    return self.end_silent(pending.endpoint()).await;
                }
                None => {
                    if pending.stall.is_none() {
                        let stall = self.begin_stall(pending.endpoint(), pending.started);
                        pending.stall = Some(stall.await);
                    }
                    limit = match self.find_replacement(pending.started.elapsed()) {
                        ReplacementChance::Likely => {
                            return Ok(AttemptEnd::Stalled(Box::new(pending)));
                        }
                        ReplacementChance::NoEndpoint => Instant::now() + SearchDelay::AFTER_NONE,
                        ReplacementChance::Denied => Instant::now() + delay.after_refusal(),
                    };
                }
            }
        }
    }

    /// Ends a call whose answer has begun or can't come any more.
    pub(super) async fn end_pending(
        &mut self,
        mut pending: PendingCall,
        result: HeadResult,
    ) -> Result<AttemptEnd, GatewayRefusal> {
        let view = self.node.view.load_full();
        pending.finish_stall(match &result {
            Ok(_) => StallEnd::WentOn,
            Err(_) => StallEnd::Failed,
        });
        let (call, response) = match result {
            Ok(answered) => answered,
            Err(error) => return self.end_call(&view, pending.endpoint(), error).await,
        };
        let (parts, body) = response.into_parts();
        let head = self.node.wire.read_endpoint(&parts);
        let member = &pending.member;
        let pool = &self.context.pool;
        self.node
            .record_response_head(pool, member.endpoint(), pending.sent, &head);
        self.has_answer_begun = true;
        let open = OpenAnswer {
            response: Response::from_parts(parts, body),
            head,
            endpoint: member.endpoint().to_string(),
            version: member.version.clone(),
            started: pending.started,
            call,
            guard: pending.guard,
            progress: pending.progress,
            early: None,
        };
        self.classify_answer(&view, open).await
    }

    /// Ends a call that has failed.
    async fn end_call(
        &mut self,
        view: &GatewayView,
        endpoint: &str,
        error: CallError,
    ) -> Result<AttemptEnd, GatewayRefusal> {
        self.send_state.send_replace(SendState::Idle);
        self.node.answer_memory.record_failure(&error);
        match error {
            CallError::Unsent(reason) => {
                self.ledger.record_denial(endpoint);
                self.report(view, endpoint, AttemptReport::Failed, &reason);
                Ok(AttemptEnd::Unsent)
            }
            CallError::Withheld(reason) => {
                self.ledger.record_denial(endpoint);
                log_event!(
                    info,
                    "attempt_withheld",
                    request = self.context.id,
                    endpoint = endpoint,
                    reason = reason
                );
                Ok(AttemptEnd::Unsent)
            }
            CallError::OverBudget => {
                self.ledger.record_denial(endpoint);
                Ok(AttemptEnd::OverBudget)
            }
            CallError::Silent => {
                self.ledger.record_denial(endpoint);
                self.record_silent_replacement(endpoint, SilentReplacement::BeforeSend);
                Ok(AttemptEnd::Unsent)
            }
            CallError::Broken(reason) => {
                self.record_failure(endpoint, Some(CallFailure::Cut), &reason)
                    .await;
                Ok(AttemptEnd::Lost)
            }
            CallError::TooLarge(limit) => {
                self.record_failure(endpoint, None, &limit.to_string())
                    .await;
                Ok(AttemptEnd::Lost)
            }
            CallError::Lost(reason) => {
                self.record_failure(endpoint, None, &reason).await;
                Ok(AttemptEnd::Lost)
            }
        }
    }

    /// Ends a call that has been silent until the request's deadline.
    pub(super) async fn end_silent(
        &mut self,
        endpoint: &str,
    ) -> Result<AttemptEnd, GatewayRefusal> {
        let reason = "no response head within the timeout";
        self.record_failure(endpoint, Some(CallFailure::TimedOut), reason)
            .await;
        Ok(AttemptEnd::Lost)
    }

    async fn send_to(
        &mut self,
        member: &Arc<PoolMember>,
        last_event: Option<u64>,
        started: Instant,
        guard: OutstandingGuard,
    ) -> Result<PendingCall, CallError> {
        let (call, was_cached) = match self.must_probe_first() {
            true => {
                let (opened, is_alive) =
                    tokio::join!(self.open_call(member), self.node.answers_probe(member));
                let opened = opened?;
                if !is_alive {
                    return Err(CallError::Silent);
                }
                opened
            }
            false => self.open_call(member).await?,
        };
        // The VM may have been suspended meanwhile, which the monotonic clock does not
        // count.
        let is_past = |expires_at: BootTime| BootClock.now() > expires_at;
        if self.permitted_until.is_some_and(is_past) {
            let reason = "the permit for the endpoint has expired".to_string();
            return Err(CallError::Unsent(reason));
        }
        if !self.node.is_available(member.endpoint()) {
            return Err(CallError::Withheld(
                "the endpoint takes no requests from this entry",
            ));
        }
        let token = self.take_token().await?;
        let opened = OpenedCall {
            call,
            was_cached,
            token,
        };
        let progress = self.node.scores.progress.begin(member.endpoint());
        Ok(self.begin_send(opened, member, last_event, started, (guard, progress)))
    }

    /// Whether the next send replaces a stalled call that is dropped soon after it: an endpoint that
    /// is as silent must not take its place.
    pub(super) fn must_probe_first(&self) -> bool {
        let is_stream = matches!(self.context.route.kind, RouteKind::Stream { .. });
        is_stream && self.stalled_since.is_some()
    }

    fn begin_send(
        &mut self,
        opened: OpenedCall,
        member: &Arc<PoolMember>,
        last_event: Option<u64>,
        started: Instant,
        guards: (OutstandingGuard, ProgressGuard),
    ) -> PendingCall {
        let sent = SendState::Sent(Arc::clone(member));
        self.send_state.send_replace(sent);
        let request = self.endpoint_request(member, last_event);
        let member = Arc::clone(member);
        PendingCall::send(opened, request, member, (started, BootClock.now()), guards)
    }

    /// Sends the request again over a new connection, after a cached one was broken.
    async fn send_over_new(
        &mut self,
        member: &Arc<PoolMember>,
        last_event: Option<u64>,
        started: Instant,
        reason: &str,
    ) -> Result<PendingCall, CallError> {
        // The endpoint may have run the first send, so no failure counts as unsent now.
        self.set_repeat_reason(RepeatReason::StaleConnection);
        let connected = self.node.connect(member).await;
        let call = connected.map_err(|error| CallError::Broken(error.to_string()))?;
        let token = self.take_token().await;
        let token = token.map_err(|_| CallError::Broken(reason.to_string()))?;
        let opened = OpenedCall {
            call,
            was_cached: false,
            token,
        };
        let guard = self
            .node
            .scores
            .outstanding
            .begin_attempt(member.endpoint());
        let progress = self.node.scores.progress.begin(member.endpoint());
        Ok(self.begin_send(opened, member, last_event, started, (guard, progress)))
    }

    fn endpoint_request(&self, member: &PoolMember, last_event: Option<u64>) -> Request<Bytes> {
        let headers = self.forward_headers(member, last_event);
        let request = self.node.wire.endpoint_request(&self.parts, &headers);
        request.map(|()| self.body.clone())
    }

    fn forward_headers<'a>(
        &'a self,
        member: &'a PoolMember,
        last_event: Option<u64>,
    ) -> ForwardHeaders<'a> {
        let is_stream = matches!(self.context.route.kind, RouteKind::Stream { .. });
        ForwardHeaders {
            target: EndpointTarget {
                name: &member.name,
                address: member.address(),
            },
            remaining: self.context.remaining(Instant::now()),
            workspace: self.context.workspace.as_deref(),
            rank: is_stream.then_some(engine_rank(self.context.rank)),
            inputs: self.results.as_ref().map(PlanResults::handles),
            last_event,
            body_bytes: self.body.len() as u64,
        }
    }

    /// Returns a connection for the request, and whether it was cached. After a failure on
    /// a cached connection it is not always known whether the request arrived, so only
    /// idempotent requests use one. A retry does not either: the cause of the failure before it
    /// may have broken all connections of this entry.
    async fn open_call(&self, member: &PoolMember) -> Result<(EndpointCall, bool), CallError> {
        match self.context.route.kind {
            RouteKind::Idempotent if self.ledger.sends() <= 1 => {
                self.node.open_cached(member).await
            }
            RouteKind::Idempotent | RouteKind::NonIdempotent | RouteKind::Stream { .. } => {
                Ok((self.node.connect(member).await?, false))
            }
        }
    }

    /// Distinguishes an endpoint's own answer from a denial, and from an answer that is
    /// unsigned or belongs to another request.
    async fn classify_answer(
        &mut self,
        view: &GatewayView,
        open: OpenAnswer,
    ) -> Result<AttemptEnd, GatewayRefusal> {
        let (parts, body) = open.response.into_parts();
        let (head, endpoint) = (open.head, open.endpoint);
        if head.is_other_incarnation || head.not_run {
            self.ledger.record_denial(&endpoint);
            self.send_state.send_replace(SendState::Idle);
            let status = parts.status.as_u16();
            log_event!(
                info,
                "attempt_denied",
                request = self.context.id,
                endpoint = endpoint,
                status = status,
                other_incarnation = head.is_other_incarnation,
                backoff = format!("{:?}", head.backoff)
            );
            if head.is_other_incarnation {
                self.report(
                    view,
                    &endpoint,
                    AttemptReport::Failed,
                    "another incarnation",
                );
            }
            return Ok(match head.inputs_gone {
                true => AttemptEnd::InputsGone,
                false => AttemptEnd::Denied,
            });
        }
        let is_ours = head.request_id.as_deref() == Some(&*self.context.id);
        if !is_ours || !head.is_signed {
            let reason = match is_ours {
                true => "the answer is not signed",
                false => "the answer belongs to another request",
            };
            self.report(view, &endpoint, AttemptReport::Failed, reason);
            return Ok(AttemptEnd::Lost);
        }
        if !parts.status.is_success() {
            self.report(
                view,
                &endpoint,
                AttemptReport::Failed,
                parts.status.as_str(),
            );
            let time = self.context.remaining(Instant::now());
            let reading = read_complete(body, self.node.answer_memory.hold());
            let body = match tokio::time::timeout(time, reading).await {
                Ok(Ok(body)) => body,
                unread => {
                    let failure = match unread {
                        Ok(Ok(_)) => None,
                        Ok(Err(error)) => CallFailure::of(&error),
                        Err(_) => Some(CallFailure::TimedOut),
                    };
                    if let Some(failure) = failure
                        && !self.has_lost_path(&endpoint, failure).await
                    {
                        self.suspect_crash(&endpoint, failure);
                    }
                    return Ok(AttemptEnd::Lost);
                }
            };
            self.record_answered(is_delimited(&parts.headers));
            if head.promises_not_run && !self.context.route.kind.is_retryable() {
                // The request may have run, although callers take this status as a guarantee
                // that it has not.
                return Ok(AttemptEnd::Lost);
            }
            let mut response = Response::new(body);
            *response.status_mut() = parts.status;
            *response.headers_mut() = self.node.wire.caller_headers(&parts);
            return Ok(AttemptEnd::Failed(response));
        }
        Ok(AttemptEnd::Open(Box::new(OpenAnswer {
            response: Response::from_parts(parts, body),
            head,
            endpoint,
            version: open.version,
            started: open.started,
            call: open.call,
            guard: open.guard,
            progress: open.progress,
            early: open.early,
        })))
    }

    fn report(&self, view: &GatewayView, endpoint: &str, report: AttemptReport, reason: &str) {
        let pool = &self.context.pool;
        let records = view.roster.records(pool);
        self.node.scores.report(pool, records, endpoint, report);
        self.report_to_coordinator(
            endpoint,
            match report {
                AttemptReport::Succeeded(time) => Some(time),
                AttemptReport::Failed => None,
            },
        );
        if report == AttemptReport::Failed {
            log_event!(
                info,
                "attempt_failed",
                request = self.context.id,
                digest = self.identity.digest,
                prompt = self.context.prompt_text(),
                endpoint = endpoint,
                reason = reason
            );
        }
    }

    /// Reports to the coordinator that placed the request how its attempt ended: successfully after
    /// `elapsed`, or not.
    fn report_to_coordinator(&self, endpoint: &str, elapsed: Option<Duration>) {
        let placement = self.placement.as_ref();
        // A stalled call may end after the request was placed elsewhere.
        let placement = placement.filter(|placement| placement.endpoint == endpoint);
        if let Some(placement) = placement {
            let exchange = &self.node.exchange;
            exchange.report_placement(&self.node, placement, elapsed);
        }
    }

    /// Records that an endpoint may have crashed while it worked on the request.
    pub(super) fn suspect_crash(&mut self, endpoint: &str, failure: CallFailure) {
        let view = self.node.view.load();
        let call = FailedCall {
            endpoint: endpoint.to_string(),
            address: None,
            failure,
            digest: self.identity.digest,
            prompt: SuspectRequest {
                parts: BTreeSet::clone(&self.identity.parts),
                part_revision: self.list_at_send.part_revision(),
                begun: self.has_answer_begun,
            },
        };
        let decision = self.node.suspect_crash(&view, &self.context.pool, call);
        // After a timeout the resend has waited long enough.
        self.decision = (failure == CallFailure::Cut).then_some(decision);
    }

    /// Whether the path to an endpoint whose call failed is lost, so that the failure says nothing
    /// about the endpoint or the request.
    async fn has_lost_path(&self, endpoint: &str, failure: CallFailure) -> bool {
        let view = self.node.view.load_full();
        let member = view.roster.member(&self.context.pool, endpoint);
        let Some(member) = member else {
            return false;
        };
        let is_lost = self.node.has_lost_path(member, failure).await;
        if is_lost {
            log_event!(
                info,
                "attempt_path_lost",
                request = self.context.id,
                endpoint = endpoint
            );
        }
        is_lost
    }

    /// Whether an endpoint accepts no connections after it ended an answer that only the end of its
    /// connection completes: a process that crashes closes its connections like one that has
    /// finished. One that is leaving may end after its last answer.
    pub(super) async fn has_crashed(&self, endpoint: &str) -> bool {
        let view = self.node.view.load_full();
        let member = view.roster.member(&self.context.pool, endpoint);
        match member.filter(|_| !self.node.availability.is_leaving(endpoint)) {
            Some(member) => !self.node.is_reachable(member).await,
            None => false,
        }
    }

    /// Records that a call has stalled. The endpoint may have crashed, or the path to it may be lost,
    /// without an end of the connection; it counts as failed only once the call is replaced.
    pub(super) async fn begin_stall(&mut self, endpoint: &str, since: Instant) -> StallRecord {
        let context = &self.context;
        let record = StallRecord::begin(&self.node, &context.pool, &context.id, endpoint, since);
        if !self.has_lost_path(endpoint, CallFailure::TimedOut).await {
            self.suspect_crash(endpoint, CallFailure::TimedOut);
        }
        record
    }

    /// Reports a call that failed after the request was sent, unless its path is lost.
    pub(super) async fn record_failure(
        &mut self,
        endpoint: &str,
        failure: Option<CallFailure>,
        reason: &str,
    ) {
        if let Some(failure) = failure {
            if self.has_lost_path(endpoint, failure).await {
                return;
            }
            self.suspect_crash(endpoint, failure);
        }
        self.report_failure(endpoint, reason);
    }

    /// Records that an endpoint answered the request without crashing, if the answer shows
    /// where it ends.
    pub(super) fn record_answered(&self, is_delimited: bool) {
        if is_delimited {
            self.node
                .crash_detector
                .record_answered(self.identity.digest);
        }
    }

    /// Records that an endpoint answered the request successfully and in full, if the answer shows
    /// where it ends: neither the request nor a part of its prompt crashes endpoints.
    pub(super) fn record_served(&self, is_delimited: bool) {
        self.record_answered(is_delimited);
        let watched = self.node.quarantine_list().watched_parts(&self.identity);
        if is_delimited && !watched.is_empty() {
            let revision = self.list_at_send.part_revision();
            self.node
                .crash_detector
                .record_answered_parts(&watched, revision);
        }
    }

    /// Reports that an attempt at an endpoint succeeded after `time`.
    pub(super) fn report_success(&self, endpoint: &str, time: Duration) {
        let view = self.node.view.load_full();
        self.report(&view, endpoint, AttemptReport::Succeeded(time), "");
    }

    /// Reports that an attempt at an endpoint failed.
    pub(super) fn report_failure(&self, endpoint: &str, reason: &str) {
        let view = self.node.view.load_full();
        self.report(&view, endpoint, AttemptReport::Failed, reason);
    }

    /// Reports that a stalled call was replaced. It counts as a failure of its endpoint once for all
    /// calls that one silence has stalled.
    pub(super) fn report_replaced(&self, endpoint: &str) {
        match self.node.scores.progress.take_failure(endpoint) {
            true => self.report_failure(endpoint, "replaced after a stall"),
            false => self.report_to_coordinator(endpoint, None),
        }
    }

    pub(super) async fn handle_answer(&mut self, open: OpenAnswer) -> AnswerOutcome {
        match self.context.route.kind {
            RouteKind::Stream { .. } => AnswerOutcome::Stream(Box::new(open)),
            RouteKind::Idempotent | RouteKind::NonIdempotent => self.read_whole(open).await,
        }
    }
}

/// Whether an answer shows where it ends. One that ends with its connection may be
/// truncated.
pub(super) fn is_delimited(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Outcome of reading a successful answer; a stream's body is not read yet.
pub(super) enum AnswerOutcome {
    Whole(Response<GatewayBody>),
    Stream(Box<OpenAnswer>),
    Lost,
}
