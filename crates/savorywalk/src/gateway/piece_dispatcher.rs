use std::pin::pin;
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::{Notify, mpsc, oneshot};

use super::crash_detector::{CallFailure, FailedCall};
use super::endpoint_call::CallError;
use super::gateway_node::GatewayNode;
use super::gateway_view::GatewayView;
use super::permit_gate::PermitWindow;
use super::piece_call::{self, CallResult};
use super::work_shard::{WorkKind, WorkShard};
use super::{
    CallNumber, CloseReason, LoadReport, PieceCall, PieceOutcome, PieceProfile, PieceQueue,
    PieceTarget, PieceTask, PoolMember, PoolRate, QueuedPiece, ResultHandle,
};
use crate::prelude::*;
use crate::quarantine::SuspectRequest;
use crate::routing::AttemptReport;

/// Longest sleep of the dispatcher while nothing happens.
const MAX_SLEEP: Duration = Duration::from_secs(5);

/// Longest sleep while pieces wait for limited endpoints; shorter than the interval between
/// two calls to one.
const PERMIT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Cost from which on an endpoint is unhealthy: it is called only if no other is healthy.
const UNHEALTHY_COST: f64 = 50.0;

/// How the work on one piece ended, as reported to its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum PieceEnd {
    /// The piece was completed with this result.
    Made(ResultHandle),
    /// The deadline passed.
    Late,
    /// The piece cannot be finished in time, and there was no spare endpoint time for it.
    Overload,
    /// An input is no longer stored at its endpoint.
    InputGone,
    /// Too many calls with the piece failed.
    Failed,
}

/// The end of one piece, sent to its request.
#[derive(Clone, Debug)]
pub(super) struct PieceUpdate {
    pub(super) piece: u32,
    pub(super) end: PieceEnd,
}

/// Identifies a dispatcher: one per pool and shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct DispatcherKey {
    pub(super) pool: String,
    pub(super) shard: WorkShard,
}

/// Queues the pieces of many requests for one pool in one shard and makes the calls.
#[derive(Debug)]
pub(super) struct PieceDispatcher {
    node: Arc<GatewayNode>,
    pool: String,
    shard: WorkShard,
    state: Mutex<DispatcherState>,
    wake: Notify,
}

#[derive(Debug, Default)]
struct DispatcherState {
    queue: PieceQueue,
    waiters: FastMap<TaskKey, mpsc::UnboundedSender<PieceUpdate>>,
    /// Ends the wait for the answers of stalled calls.
    closers: FastMap<CallNumber, oneshot::Sender<CloseReason>>,
}

impl DispatcherState {
    /// Closes the stalled calls from which nothing is expected any more.
    fn close_stalled(&mut self) {
        for (number, reason) in self.queue.take_closed() {
            if let Some(closer) = self.closers.remove(&number) {
                // A call whose answer has just come needs no closing.
                let _ = closer.send(reason);
            }
        }
    }
}

/// A call that has ended.
struct EndedCall {
    result: Result<CallResult, CloseReason>,
    stalled_at: Option<Instant>,
}

/// Identifies a task by its address in memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct TaskKey(usize);

impl TaskKey {
    fn from_task(task: &Arc<PieceTask>) -> Self {
        Self(Arc::as_ptr(task) as usize)
    }
}

/// The queued pieces of one stage of one request. Dropping it abandons the task and releases
/// the results that were not received.
#[derive(Debug)]
pub(super) struct PieceBatch {
    dispatcher: Arc<PieceDispatcher>,
    task: Arc<PieceTask>,
    pub(super) updates: mpsc::UnboundedReceiver<PieceUpdate>,
}

impl Drop for PieceBatch {
    fn drop(&mut self) {
        self.task.abandon();
        let mut state = self.dispatcher.state();
        state.waiters.remove(&TaskKey::from_task(&self.task));
        state.queue.close_abandoned();
        state.close_stalled();
        drop(state);
        // Releases results that were completed but not received.
        self.updates.close();
        while let Ok(update) = self.updates.try_recv() {
            if let PieceEnd::Made(handle) = update.end {
                let shard = self.dispatcher.shard.clone();
                self.dispatcher.node.releases.release(shard, handle);
            }
        }
    }
}

impl PieceDispatcher {
    /// Starts the dispatcher for `key`.
    pub(super) fn start(node: Arc<GatewayNode>, key: &DispatcherKey) -> Arc<Self> {
        let dispatcher = Arc::new(Self {
            node,
            pool: key.pool.clone(),
            shard: key.shard.clone(),
            state: Mutex::default(),
            wake: Notify::new(),
        });
        tokio::spawn(Arc::clone(&dispatcher).run());
        dispatcher
    }

    /// Wakes the dispatcher to look for calls to make.
    pub(super) fn wake(&self) {
        self.wake.notify_one();
    }

    /// Queues all pieces of a stage.
    pub(super) fn submit(self: &Arc<Self>, task: PieceTask, pieces: u32) -> PieceBatch {
        let task = Arc::new(task);
        if !task.is_rerun {
            self.node.retry_gate.record_first(&self.pool, pieces);
        }
        let (sender, updates) = mpsc::unbounded_channel();
        let queued = Instant::now();
        let mut state = self.state();
        state.waiters.insert(TaskKey::from_task(&task), sender);
        for piece in 0..pieces {
            state.queue.push(QueuedPiece {
                task: Arc::clone(&task),
                piece,
                queued,
                failures: 0,
                was_sent: task.is_rerun,
                needs_retry: task.needs_retries,
            });
        }
        drop(state);
        self.wake();
        PieceBatch {
            dispatcher: Arc::clone(self),
            task,
            updates,
        }
    }

    /// Returns the combined throughput of the healthy endpoints, in endpoints that make full
    /// calls at the pool's usual speed.
    pub(super) fn rate(&self) -> PoolRate {
        let view = self.node.view.load_full();
        let now = Instant::now();
        let permits = self.permit_window(now);
        let profile = self.profile(&view);
        let full_call = profile.map(|profile| profile.call_duration(profile.batch));
        let full_call_secs = full_call.unwrap_or_default().as_secs_f64();
        let members = self.usable_members(&view);
        let rate = |member: &PoolMember| permits.rate(now, member);
        let targets = self.healthy_targets(now, members.filter(|member| rate(member) != Some(0.0)));
        let parts = targets.iter().map(|(member, target)| {
            let part = 1.0 / target.cost.max(1.0);
            rate(member).map_or(part, |rate| part.min(rate * full_call_secs))
        });
        let endpoints: f64 = parts.sum();
        PoolRate {
            endpoints: endpoints * self.state().queue.utilization().ratio(),
        }
    }

    /// Returns the estimated duration of a full call with pieces whose results have this size.
    pub(super) fn full_call(&self, result_bytes: u64) -> Duration {
        let profile = self.profile(&self.node.view.load());
        let queue = &self.state().queue;
        profile.map_or(Duration::ZERO, |profile| {
            queue.times().full_call(&profile, result_bytes)
        })
    }

    /// Returns the endpoint time that one such piece takes in a full call.
    pub(super) fn piece_work(&self, result_bytes: u64) -> Duration {
        let profile = self.profile(&self.node.view.load());
        let queue = &self.state().queue;
        profile.map_or(Duration::ZERO, |profile| {
            queue.times().piece_work(&profile, result_bytes)
        })
    }

    fn state(&self) -> MutexGuard<'_, DispatcherState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn run(self: Arc<Self>) {
        loop {
            self.dispatch_calls();
            let now = Instant::now();
            let profile = self.profile(&self.node.view.load());
            let wake_at = profile.and_then(|profile| self.state().queue.next_due(now, &profile));
            let max_sleep = if self.waits_for_permit(now) {
                PERMIT_POLL_INTERVAL
            } else {
                MAX_SLEEP
            };
            let wake_at = wake_at.unwrap_or(now + max_sleep).min(now + max_sleep);
            tokio::select! {
                () = self.wake.notified() => {}
                () = tokio::time::sleep_until(wake_at.into()) => {}
            }
        }
    }

    fn dispatch_calls(self: &Arc<Self>) {
        let now = Instant::now();
        let view = self.node.view.load_full();
        let expired = {
            let mut state = self.state();
            let expired = state.queue.take_expired(now);
            state.close_stalled();
            expired
        };
        for piece in expired {
            self.send_update(&piece, PieceEnd::Late);
        }
        let Some(profile) = self.profile(&view) else {
            return;
        };
        let infeasible = self.state().queue.take_infeasible(now, &profile);
        for (piece, reason) in infeasible {
            log_event!(
                info,
                "piece_infeasible",
                request = piece.task.request_id,
                pool = self.pool,
                shard = self.shard.name(),
                stage = piece.task.stage,
                piece = piece.piece,
                waited_ms = now.saturating_duration_since(piece.queued).as_millis(),
                reason = reason.name()
            );
            self.send_update(&piece, PieceEnd::Overload);
        }
        let targets = self.targets(now, &view);
        let may_repeat = self.node.retry_gate.may_retry(&self.pool);
        let calls = {
            let mut state = self.state();
            state.queue.allow_repeats(may_repeat);
            state
                .queue
                .retain_endpoints(|endpoint| view.roster.has(&self.pool, endpoint));
            state.queue.next_calls(now, &profile, &targets)
        };
        for call in calls {
            let dispatcher = Arc::clone(self);
            tokio::spawn(async move { dispatcher.perform(call, profile).await });
        }
    }

    fn profile(&self, view: &GatewayView) -> Option<PieceProfile> {
        view.table.as_ref()?.pool(&self.pool)?.pieces
    }

    /// Returns the endpoints that may be called now; unhealthy ones only if there is no other.
    fn targets<'a>(&self, now: Instant, view: &'a GatewayView) -> Vec<PieceTarget<'a>> {
        let permits = self.permit_window(now);
        let members = self.usable_members(view);
        let targets =
            self.healthy_targets(now, members.filter(|member| permits.admits(now, member)));
        targets.into_iter().map(|(_, target)| target).collect()
    }

    /// Returns the available endpoints of the shard, or those of all shards if it has none.
    /// Endpoints that require a permit are only called from their own shard.
    fn usable_members<'a>(&self, view: &'a GatewayView) -> impl Iterator<Item = &'a PoolMember> {
        let members = || view.roster.pool(&self.pool).iter().map(Arc::as_ref);
        let is_own = |member: &PoolMember| self.shard.has(member);
        let has_own = members().any(is_own);
        members().filter(move |member| {
            let is_usable =
                is_own(member) || (!has_own && !self.node.needs_permit(&self.pool, member));
            is_usable && self.node.is_available(member.endpoint())
        })
    }

    fn healthy_targets<'a>(
        &self,
        now: Instant,
        members: impl Iterator<Item = &'a PoolMember>,
    ) -> Vec<(&'a PoolMember, PieceTarget<'a>)> {
        let targets = members.map(|member| {
            let cost = self.node.scores.cost(now, &self.pool, member);
            let target = PieceTarget {
                endpoint: member.endpoint(),
                data_center: member.data_center(),
                cost: cost.factor + cost.surcharge,
            };
            (member, target)
        });
        let mut targets: Vec<(&PoolMember, PieceTarget<'_>)> = targets.collect();
        let is_healthy =
            |(_, target): &(&PoolMember, PieceTarget<'_>)| target.cost < UNHEALTHY_COST;
        if targets.iter().any(is_healthy) {
            targets.retain(is_healthy);
        }
        targets
    }

    /// Whether pieces are queued while the pool has limited endpoints, or wait for a retry.
    fn waits_for_permit(&self, now: Instant) -> bool {
        let view = self.node.view.load();
        let mut members = view.roster.pool(&self.pool).iter().map(Arc::as_ref);
        let is_limited = |member: &PoolMember| {
            let rate = self.node.permits.limits.rate(member.endpoint());
            member.is_cold(now) || rate.is_some() || !self.node.is_available(member.endpoint())
        };
        let state = self.state();
        state.queue.holds_repeats() || (!state.queue.is_empty() && members.any(is_limited))
    }

    /// Returns the permits that this entry may issue for the limited endpoints of the pool.
    fn permit_window(&self, now: Instant) -> PermitWindow<'_> {
        let (pool, shard) = (&self.pool, &self.shard);
        self.node.permit_window(now, pool, WorkKind::Stages, shard)
    }

    async fn perform(self: Arc<Self>, call: PieceCall, profile: PieceProfile) {
        let view = self.node.view.load_full();
        let Some(member) = view.roster.member(&self.pool, &call.endpoint) else {
            self.end_call(&call, profile, None, None);
            return self.requeue(call.number, call.pieces, false);
        };
        if !self.node.try_issue_permit(&self.pool, &self.shard, member) {
            self.end_call(&call, profile, None, None);
            self.state()
                .queue
                .record_denied(Instant::now(), &call.endpoint);
            return self.requeue(call.number, call.pieces, false);
        }
        let _guard = self
            .node
            .scores
            .outstanding
            .begin_attempt(member.endpoint());
        let started = Instant::now();
        // The queue has reserved room for all pieces, also for those that are not sent.
        let planned = call.clone();
        let mut call = call;
        let Some(ended) = self.send_pieces(member, &mut call, &profile).await else {
            self.end_call(&planned, profile, None, None);
            return self.wake();
        };
        let EndedCall { result, stalled_at } = ended;
        let waits = call.pieces.iter();
        let longest_wait = waits.map(|piece| started - piece.queued).max();
        let outcome = match &result {
            Ok(result) => result.name(),
            Err(reason) => reason.name(),
        };
        log_event!(
            info,
            "piece_call_ended",
            pool = self.pool,
            endpoint = call.endpoint,
            pieces = call.pieces.len(),
            waited_ms = longest_wait.unwrap_or_default().as_millis(),
            still_waiting = self.state().queue.len(),
            result = outcome,
            ms = started.elapsed().as_millis()
        );
        if let Some(stalled_at) = stalled_at {
            self.record_stall_end(&call, outcome, stalled_at);
        }
        let result = match result {
            Ok(result) => result,
            Err(reason) => {
                let has_lost_path = self.node.connector.has_lost(member.endpoint());
                if reason.is_failure() && !has_lost_path {
                    self.report(&view, &call.endpoint, AttemptReport::Failed);
                }
                self.end_call(&planned, profile, None, stalled_at);
                self.state()
                    .queue
                    .record_denied(Instant::now(), &call.endpoint);
                return self.wake();
            }
        };
        let has_lost_path = match result.path_failure() {
            Some(failure) => self.node.has_lost_path(member, failure).await,
            None => false,
        };
        // A stall says nothing about the time that the endpoint usually takes.
        let elapsed = started.elapsed().min(piece_call::stall_limit(&profile));
        if let Some(report) = result.report(elapsed).filter(|_| !has_lost_path) {
            self.report(&view, &call.endpoint, report);
        }
        match &result {
            CallResult::Answered { .. } => {
                let mut state = self.state();
                state.queue.observe(&profile, &call, started.elapsed());
                state.queue.record_answer(&call.endpoint);
            }
            CallResult::Denied { .. } => self.state().queue.record_answer(&call.endpoint),
            CallResult::Failed(_) => {}
        }
        self.end_call(&planned, profile, result.load(), stalled_at);
        match result {
            CallResult::Answered { outcomes, .. } => self.handle_outcomes(call, &profile, outcomes),
            CallResult::Denied { .. } => {
                self.state()
                    .queue
                    .record_denied(Instant::now(), &call.endpoint);
                self.requeue(call.number, call.pieces, false);
            }
            CallResult::Failed(error) => {
                log_event!(
                    info,
                    "piece_call_failed",
                    pool = self.pool,
                    endpoint = call.endpoint,
                    pieces = call.pieces.len(),
                    reason = error,
                    path_lost = has_lost_path
                );
                self.state()
                    .queue
                    .record_denied(Instant::now(), &call.endpoint);
                if let CallError::Broken(_) = error
                    && !has_lost_path
                {
                    self.report_suspected_crash(&view, &call).await;
                }
                self.requeue_failed(call.number, call.pieces);
            }
        }
        self.wake();
    }

    fn report(&self, view: &GatewayView, endpoint: &str, report: AttemptReport) {
        let records = view.roster.records(&self.pool);
        let scores = &self.node.scores;
        scores.report(&self.pool, records, endpoint, report);
    }

    /// Makes one call with the pieces that are still open, less those that the retry budget holds
    /// back; `None` if no piece is left.
    async fn send_pieces(
        &self,
        member: &PoolMember,
        call: &mut PieceCall,
        profile: &PieceProfile,
    ) -> Option<EndedCall> {
        let limit = tokio::time::Instant::now() + piece_call::stall_limit(profile);
        let connection = match piece_call::open(&self.node, member, limit).await {
            Ok(connection) => connection,
            Err(result) => {
                return Some(EndedCall {
                    result: Ok(result),
                    stalled_at: None,
                });
            }
        };
        self.retain_open(call);
        let held_back = self.node.hold_back(&self.pool, &mut call.pieces).await;
        self.requeue(call.number, held_back, false);
        if call.pieces.is_empty() {
            return None;
        }
        let token = self.node.record_piece_sends(&self.pool, &mut call.pieces);
        let call = &*call;
        let sent = (call.pieces.as_slice(), token);
        let (node, pool) = (&self.node, &self.pool);
        let mut exchange = pin!(piece_call::perform(node, pool, member, connection, sent));
        if let Ok(result) = tokio::time::timeout_at(limit, &mut exchange).await {
            return Some(EndedCall {
                result: Ok(result),
                stalled_at: None,
            });
        }
        let stalled_at = Instant::now();
        let closed = self.stall(member, call).await;
        let result = tokio::select! {
            result = exchange => Ok(result),
            reason = closed => Err(reason.unwrap_or(CloseReason::Abandoned)),
        };
        self.state().closers.remove(&call.number);
        Some(EndedCall {
            result,
            stalled_at: Some(stalled_at),
        })
    }

    /// Drops the pieces that other calls have made meanwhile.
    fn retain_open(&self, call: &mut PieceCall) {
        let state = self.state();
        let number = call.number;
        call.pieces
            .retain(|piece| state.queue.is_open(number, piece));
    }

    /// Queues the pieces of a silent call again while the call stays open. The receiver yields why
    /// the call is to be closed.
    async fn stall(&self, member: &PoolMember, call: &PieceCall) -> oneshot::Receiver<CloseReason> {
        let (closer, closed) = oneshot::channel();
        let queued = {
            let mut state = self.state();
            let before = state.queue.len();
            if state.queue.stall(Instant::now(), call) {
                state.closers.insert(call.number, closer);
            }
            state.close_stalled();
            state.queue.len().saturating_sub(before)
        };
        self.wake();
        let has_lost_path = self.node.has_lost_path(member, CallFailure::TimedOut).await;
        let requests: BTreeSet<&str> = call
            .pieces
            .iter()
            .map(|piece| &*piece.task.request_id)
            .collect();
        log_event!(
            info,
            "piece_call_stalled",
            pool = self.pool,
            endpoint = call.endpoint,
            call = call.number,
            pieces = call.pieces.len(),
            queued_again = queued,
            requests = requests.into_iter().collect::<Vec<_>>().join(","),
            path_lost = has_lost_path
        );
        closed
    }

    fn record_stall_end(&self, call: &PieceCall, outcome: &'static str, stalled_at: Instant) {
        let time = stalled_at.elapsed();
        log_event!(
            info,
            "piece_stall_ended",
            pool = self.pool,
            endpoint = call.endpoint,
            call = call.number,
            pieces = call.pieces.len(),
            outcome = outcome,
            ms = time.as_millis()
        );
        let metrics = &self.node.metrics;
        metrics.record_piece_stall(&self.pool, outcome, time);
    }

    /// Reports that the endpoint of a call may have crashed, and waits for control's decision
    /// before the pieces go to other endpoints.
    async fn report_suspected_crash(&self, view: &GatewayView, call: &PieceCall) {
        let mut decision = None;
        for piece in &call.pieces {
            piece.task.isolate();
            if let Some(digest) = piece.task.digest {
                let failed = FailedCall {
                    endpoint: call.endpoint.to_string(),
                    address: None,
                    failure: CallFailure::Cut,
                    digest,
                    prompt: SuspectRequest::default(),
                };
                decision = Some(self.node.suspect_crash(view, &self.pool, failed));
            }
        }
        if let Some(decision) = decision {
            decision.wait().await;
        }
    }

    fn end_call(
        &self,
        call: &PieceCall,
        profile: PieceProfile,
        load: Option<LoadReport>,
        stalled_at: Option<Instant>,
    ) {
        let mut state = self.state();
        let now = Instant::now();
        match stalled_at {
            Some(_) => state.queue.finish_stalled(now, &profile, call, load),
            None => state.queue.finish(now, &profile, call, load),
        }
    }

    /// Records that results are released, which frees capacity for others.
    pub(super) fn record_released(&self, handles: &[ResultHandle]) {
        let mut state = self.state();
        for handle in handles {
            state.queue.release(handle);
        }
        drop(state);
        self.wake();
    }

    fn handle_outcomes(
        &self,
        call: PieceCall,
        profile: &PieceProfile,
        outcomes: Vec<PieceOutcome>,
    ) {
        let now = Instant::now();
        let mut unfinished = Vec::new();
        let mut failed = Vec::new();
        let mut lacks_capacity = false;
        let number = call.number;
        for (piece, outcome) in call.pieces.into_iter().zip(outcomes) {
            match outcome {
                PieceOutcome::Made(handle) => {
                    let bytes = piece.task.result_bytes;
                    let stored = handle.clone();
                    let is_needed = {
                        let mut state = self.state();
                        let queue = &mut state.queue;
                        queue.record_result(now, profile, &call.endpoint, stored, bytes);
                        queue.complete(number, &piece)
                    };
                    match is_needed {
                        true => self.send_update(&piece, PieceEnd::Made(handle)),
                        false => self.node.releases.release(self.shard.clone(), handle),
                    }
                }
                PieceOutcome::Late => self.end_piece(number, &piece, PieceEnd::Late),
                PieceOutcome::InputGone => self.end_piece(number, &piece, PieceEnd::InputGone),
                PieceOutcome::NoRoom => {
                    lacks_capacity = true;
                    unfinished.push(piece);
                }
                PieceOutcome::Failed => failed.push(piece),
            }
        }
        if lacks_capacity {
            log_event!(
                info,
                "results_lack_room",
                pool = self.pool,
                endpoint = call.endpoint
            );
            self.state()
                .queue
                .record_lack_of_capacity(Instant::now(), &call.endpoint);
        }
        self.requeue(number, unfinished, true);
        self.requeue_failed(number, failed);
        self.state().close_stalled();
    }

    /// Reports that a piece can't be made, unless another call may still make it.
    fn end_piece(&self, call: CallNumber, piece: &QueuedPiece, end: PieceEnd) {
        let is_last = self.state().queue.end_piece(call, piece);
        if is_last {
            self.send_update(piece, end);
        }
    }

    /// Queues pieces of a call again whose next send takes a retry from the budget.
    fn requeue_failed(&self, call: CallNumber, mut pieces: Vec<QueuedPiece>) {
        for piece in &mut pieces {
            piece.needs_retry = piece.was_sent;
        }
        self.requeue(call, pieces, true);
    }

    /// Queues pieces of a call again, except those that have failed too often.
    fn requeue(&self, call: CallNumber, pieces: Vec<QueuedPiece>, failed: bool) {
        let failed_pieces: Vec<QueuedPiece> = {
            let mut state = self.state();
            let queue = &mut state.queue;
            let pieces = pieces.into_iter();
            pieces
                .filter_map(|piece| queue.return_piece(call, piece, failed))
                .collect()
        };
        for piece in failed_pieces {
            self.send_update(&piece, PieceEnd::Failed);
        }
    }

    /// Sends the end of a piece to its request. Releases the result if the request no longer waits.
    fn send_update(&self, piece: &QueuedPiece, end: PieceEnd) {
        let state = self.state();
        let update = PieceUpdate {
            piece: piece.piece,
            end: end.clone(),
        };
        let waiter = state.waiters.get(&TaskKey::from_task(&piece.task));
        let is_delivered = waiter.is_some_and(|waiter| waiter.send(update).is_ok());
        drop(state);
        if let (false, PieceEnd::Made(handle)) = (is_delivered, end) {
            self.node.releases.release(self.shard.clone(), handle);
        }
    }
}
