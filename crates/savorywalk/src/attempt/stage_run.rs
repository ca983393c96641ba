use futures::StreamExt;
use futures::future::{AbortHandle, Abortable, BoxFuture, FutureExt};
use futures::stream::FuturesUnordered;
use tokio::sync::mpsc;

use super::attempt_ledger::{AttemptEntry, AttemptLedger};
use super::endpoint_client::AttemptRequest;
use super::open_streams::OpenStreams;
use super::{
    AttemptError, AttemptEvent, AttemptId, LaunchKind, ProgressKey, StageAction, StageCall,
    StageDispatcher, StageEnd, StageEvent, StageFailure, StageMachine, StageOutcome, StageRequest,
    StageRules,
};
use crate::admission::{FirstDispatch, RequestPhase};
use crate::cost::WasteReason;
use crate::prelude::*;
use crate::routing::{AttemptReport, RouteQuery};

/// Capacity of the event queue, which fills while the caller reads its text slowly.
const EVENT_CAPACITY: usize = 32;

/// Drives the state machine of one stage: performs its actions and passes it the
/// events that follow.
pub(super) struct StageRun<'a> {
    dispatcher: &'a StageDispatcher,
    request: StageRequest<'a>,
    call: &'a StageCall,
    progress_key: ProgressKey,
    machine: StageMachine,
    ledger: AttemptLedger,
    attempts: FuturesUnordered<BoxFuture<'a, ()>>,
    sender: mpsc::Sender<StageEvent>,
    events: mpsc::Receiver<StageEvent>,
    streams: Arc<OpenStreams>,
    first_dispatch: Option<FirstDispatch>,
}

impl<'a> StageRun<'a> {
    pub(super) fn new(
        dispatcher: &'a StageDispatcher,
        request: StageRequest<'a>,
        call: &'a StageCall,
    ) -> Self {
        let rules = StageRules {
            idempotent: request.idempotent,
            streams_text: request.sink.is_some(),
        };
        let stage = request.stage;
        let (sender, events) = mpsc::channel(EVENT_CAPACITY);
        Self {
            dispatcher,
            request,
            call,
            progress_key: ProgressKey::new(&stage.pool, &stage.model, call.body.len()),
            machine: StageMachine::new(rules),
            ledger: AttemptLedger::default(),
            attempts: FuturesUnordered::new(),
            sender,
            events,
            streams: Arc::new(OpenStreams::new(&dispatcher.client)),
            first_dispatch: None,
        }
    }

    /// Runs the stage to its end.
    pub(super) async fn drive(
        mut self,
        phase: &mut RequestPhase,
    ) -> Result<StageOutcome, StageFailure> {
        let deadline = tokio::time::Instant::from_std(self.request.deadline.ends());
        let expiry = tokio::time::sleep_until(deadline);
        tokio::pin!(expiry);
        let hedge_delay = self
            .dispatcher
            .progress_table
            .hedge_delay(&self.progress_key);
        let hedge = tokio::time::sleep(hedge_delay.unwrap_or(Duration::MAX));
        tokio::pin!(hedge);
        let mut may_hedge = hedge_delay.is_some() && self.request.idempotent;
        let mut actions = vec![self.machine.start()];
        loop {
            if let Some(end) = self.perform(actions, phase).await {
                return self.finish(end, phase);
            }
            let event = tokio::select! {
                biased;
                Some(event) = self.events.recv() => event,
                Some(()) = self.attempts.next() => {
                    actions = Vec::new();
                    continue;
                }
                () = &mut expiry => StageEvent::DeadlinePassed,
                () = &mut hedge, if may_hedge => {
                    may_hedge = false;
                    StageEvent::HedgeDue
                }
            };
            self.record_event(&event);
            actions = self.decide(event);
        }
    }

    fn decide(&mut self, event: StageEvent) -> Vec<StageAction> {
        let now = Instant::now();
        let machine = &mut self.machine;
        let budgets = &self.dispatcher.budgets;
        budgets.with(&self.request.stage.pool, |budgets| {
            machine.handle(now, event, budgets)
        })
    }

    /// Performs actions. Returns the final result if one of them ends the stage.
    async fn perform(
        &mut self,
        actions: Vec<StageAction>,
        phase: &mut RequestPhase,
    ) -> Option<StageEnd> {
        let mut pending = VecDeque::from(actions);
        while let Some(action) = pending.pop_front() {
            match action {
                StageAction::Launch(attempt, kind) => {
                    if !self.launch(attempt, kind, phase) {
                        let event = StageEvent::Attempt(attempt, AttemptEvent::NoEndpoint);
                        pending.extend(self.decide(event));
                    }
                }
                StageAction::Cancel(attempt) => {
                    self.streams.cancel(attempt);
                    self.abort(attempt);
                }
                StageAction::SendText(text) => self.send_text(text).await,
                StageAction::Finish(end) => return Some(end),
            }
        }
        None
    }

    /// Starts an attempt. Returns false when no endpoint is available for it.
    fn launch(&mut self, attempt: u16, kind: LaunchKind, phase: &mut RequestPhase) -> bool {
        let now = Instant::now();
        let Some((endpoint, address)) = self.pick_endpoint(now, &kind) else {
            self.ledger.entries.push(None);
            return false;
        };
        let id = AttemptId {
            request: self.request.request,
            stage: self.request.index,
            attempt,
        };
        let resume = match &kind {
            LaunchKind::Resume(point) => {
                let resumed = self.ledger.entry(point.attempt);
                if resumed.is_some_and(|entry| entry.has_ended()) {
                    // From here on, the stream belongs to the new attempt.
                    self.streams.remove(point.attempt);
                }
                self.streams.insert(attempt, address, &point.stream);
                Some(point.clone())
            }
            LaunchKind::First | LaunchKind::Retry | LaunchKind::Hedge => None,
        };
        if attempt > 0 {
            log_event!(
                info,
                "attempt_added",
                attempt = id,
                endpoint = endpoint,
                kind = kind.label()
            );
        }
        let remaining = self.request.deadline.remaining(now);
        let is_replaceable = self.request.idempotent || self.call.is_streamed();
        let limits = self
            .dispatcher
            .progress_table
            .limits(&self.progress_key, remaining);
        let request = AttemptRequest {
            address,
            id,
            call: self.call,
            resume,
            idempotent: self.request.idempotent,
            remaining,
            limits: is_replaceable.then_some(limits),
            streams: Arc::clone(&self.streams),
            events: self.sender.clone(),
        };
        if kind == LaunchKind::Retry {
            self.cancel_ended_streams();
        }
        if let Some(first) = phase.dispatch() {
            self.first_dispatch = Some(first);
        }
        let client = &self.dispatcher.client;
        let (abort, registration) = AbortHandle::new_pair();
        let exchange = Abortable::new(client.attempt(request), registration);
        self.attempts.push(exchange.map(|_| ()).boxed());
        let guard = self.dispatcher.router.outstanding.begin_attempt(&endpoint);
        let entry = AttemptEntry::new(now, kind, endpoint, address, abort, guard);
        self.ledger.entries.push(Some(entry));
        true
    }

    /// Picks the endpoint of an attempt. A resume uses the endpoint of its
    /// stream; a hedge never uses the endpoint of the first attempt.
    fn pick_endpoint(&mut self, now: Instant, kind: &LaunchKind) -> Option<(String, SocketAddr)> {
        if let LaunchKind::Resume(point) = kind {
            let entry = self.ledger.entry(point.attempt)?;
            return Some((entry.endpoint.clone(), entry.address));
        }
        let excluded = self.ledger.endpoints();
        let query = RouteQuery {
            pool: &self.request.stage.pool,
            model: &self.request.stage.model,
            version: "",
            adapter: "",
            prefix: &self.call.prefix,
            excluded: &excluded,
        };
        let directory = self.dispatcher.directory.snapshot();
        let record = self.dispatcher.router.pick(now, &directory, query)?;
        let announcement = &record.announcement;
        if *kind == LaunchKind::Hedge && query.excludes(&announcement.endpoint) {
            return None;
        }
        Some((announcement.endpoint.clone(), announcement.address))
    }

    /// Cancels the streams of ended attempts, because a retry replaces them.
    fn cancel_ended_streams(&self) {
        for (attempt, entry) in (0..).zip(&self.ledger.entries) {
            if entry.as_ref().is_some_and(AttemptEntry::has_ended) {
                self.streams.cancel(attempt);
            }
        }
    }

    fn abort(&mut self, attempt: u16) {
        if let Some(entry) = self.ledger.entry(attempt) {
            entry.abort(Instant::now());
        }
    }

    async fn send_text(&mut self, text: String) {
        let Some(sink) = self.request.sink else {
            return;
        };
        let deadline = tokio::time::Instant::from_std(self.request.deadline.ends());
        match tokio::time::timeout_at(deadline, sink.send(text)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => log_event!(debug, "token_sink_closed"),
            Err(_) => log_event!(info, "caller_too_slow", request = self.request.request),
        }
    }

    /// Records an event in the ledger, and reports successes and failures of
    /// endpoints to the router.
    fn record_event(&mut self, event: &StageEvent) {
        let now = Instant::now();
        let StageEvent::Attempt(attempt, event) = event else {
            return;
        };
        let Some(entry) = self.ledger.entry(*attempt) else {
            return;
        };
        let report = match event {
            AttemptEvent::NoEndpoint | AttemptEvent::StreamNamed(_) => None,
            AttemptEvent::Token(_) => {
                entry.record_token_event(now);
                None
            }
            AttemptEvent::Stalled => {
                entry.stalled = true;
                Some(AttemptReport::Failed)
            }
            AttemptEvent::StreamEnded(_) | AttemptEvent::Answered(_) => {
                entry.end(now, WasteReason::LostHedge);
                Some(AttemptReport::Succeeded(now - entry.started))
            }
            AttemptEvent::Failed(error) => {
                entry.end(now, waste_reason(error));
                error.is_endpoint_failure().then_some(AttemptReport::Failed)
            }
        };
        let endpoint = entry.endpoint.clone();
        if let AttemptEvent::Failed(error) = event {
            let request = self.request.request;
            log_event!(
                warn,
                "attempt_failed",
                request = request,
                attempt = attempt,
                endpoint = endpoint,
                error = error
            );
        }
        if let Some(report) = report {
            self.dispatcher
                .report(now, &self.request.stage.pool, &endpoint, report);
        }
    }

    fn finish(
        mut self,
        end: StageEnd,
        phase: &mut RequestPhase,
    ) -> Result<StageOutcome, StageFailure> {
        let now = Instant::now();
        let pool = &self.request.stage.pool;
        let metrics = &self.dispatcher.metrics;
        metrics.record_counts(pool, self.machine.counts());
        match end {
            StageEnd::Answered { attempt, reply } => {
                let (endpoint_time, waste) = self.ledger.costs(now, Some(attempt));
                let endpoint = self.record_success(now, attempt);
                Ok(StageOutcome {
                    reply,
                    endpoint,
                    attempts: self.ledger.sent_count(),
                    endpoint_time,
                    wasted_time: waste.total(),
                    waste,
                })
            }
            StageEnd::Failed { error, not_run } => {
                let (_, waste) = self.ledger.costs(now, None);
                self.revert(error.as_ref(), not_run, phase);
                Err(StageFailure {
                    error,
                    wasted_time: waste.total(),
                    waste,
                })
            }
        }
    }

    /// Reverts the request's first dispatch if it is proven that nothing ran.
    fn revert(&mut self, error: Option<&AttemptError>, not_run: bool, phase: &mut RequestPhase) {
        let proof = error.and_then(AttemptError::not_run);
        if let (true, Some(first), Some(proof)) = (not_run, self.first_dispatch.take(), proof) {
            phase.revert(first, proof);
        }
    }

    /// Records the times and prompt prefix of the successful attempt. Returns its
    /// endpoint.
    fn record_success(&mut self, now: Instant, attempt: u16) -> String {
        let Some(entry) = self.ledger.entry(attempt) else {
            return String::new();
        };
        let first_event = entry.first_event.unwrap_or(now) - entry.started;
        let (gap, endpoint) = (entry.longest_gap, entry.endpoint.clone());
        let is_resume = match entry.kind {
            LaunchKind::Resume(_) => true,
            LaunchKind::First | LaunchKind::Retry | LaunchKind::Hedge => false,
        };
        if !is_resume {
            self.dispatcher
                .progress_table
                .record(&self.progress_key, first_event, gap);
        }
        self.dispatcher
            .router
            .record_prefix(now, &endpoint, &self.call.prefix);
        endpoint
    }
}

fn waste_reason(error: &AttemptError) -> WasteReason {
    match error {
        AttemptError::TimedOut | AttemptError::Expired => WasteReason::Late,
        AttemptError::Unreachable(_)
        | AttemptError::NoConnection(_)
        | AttemptError::Refused(_)
        | AttemptError::Rejected { .. }
        | AttemptError::Failed { .. }
        | AttemptError::Cut(_)
        | AttemptError::Unreadable(_)
        | AttemptError::WrongAttempt(_)
        | AttemptError::UnknownStream(_)
        | AttemptError::Diverged => WasteReason::FailedAttempt,
    }
}
