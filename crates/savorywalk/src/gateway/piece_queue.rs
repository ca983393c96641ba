use std::sync::atomic::Ordering;

use super::endpoint_load::EndpointLoadView;
use super::nearby_slots::NearbySlots;
use super::open_calls::OpenCalls;
use super::{
    CallNumber, CallUtilization, CloseReason, InfeasibleReason, LoadReport, PieceCall,
    PieceProfile, PieceTarget, PieceTimes, QueuedPiece, ResultCapacity, ResultHandle,
};
use crate::prelude::*;

/// How long a piece waits for an endpoint in its preferred data centre before it may go to any
/// endpoint. This is about one call, so that an endpoint there has had time to become free. A
/// shorter wait moves more data between data centres.
const LOCALITY_WAIT: Duration = Duration::from_millis(280);

/// Pause before an endpoint that refused a call is called again: about a third of a call, in
/// which its queue gets shorter.
const DENIED_PAUSE: Duration = Duration::from_millis(90);

/// Pause before an endpoint that unexpectedly lacked capacity for results is called again. It
/// stores results that this entry does not know of; these are released or fetched after about
/// this time.
const CAPACITY_PAUSE: Duration = Duration::from_millis(500);

/// How long a stage that cannot be finished in time and has not begun waits for spare endpoint
/// time. Afterwards the caller should retry instead, unless results of earlier stages would be
/// lost with the stage.
pub(super) const MAX_LATE_WAIT: Duration = Duration::from_millis(1_000);

/// Number of calls with a piece that may fail or stall; after these it is sent no more.
const MAX_FAILURES: u32 = 4;

/// Largest factor by which an endpoint's cost lengthens the expected duration of a call. An
/// endpoint with a higher cost is unhealthy rather than slow.
const MAX_DURATION_FACTOR: f64 = 10.0;

/// Age from which on an endpoint's load report is ignored.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);

/// Combines the pieces of many requests into calls to the endpoints of one pool.
///
/// A call with one piece takes nearly as long as a call with ten. While every endpoint is busy,
/// pieces wait here, and the next call takes as many as fit, in this order:
///
/// 1. Pieces of stages that have begun. Until the last piece of a stage is done, the results of
///    the first ones occupy result capacity without being of use.
/// 2. Pieces that can be finished in time, by rank and then by due time.
/// 3. Late pieces. They lose hardly any utility by waiting longer, so they only get spare
///    endpoint time. Otherwise one burst would make all requests late until its backlog is
///    done. Pieces that hold results go first among them.
///
/// A late stage begins only if all its pieces fit into the slots that a call has left, or in a
/// call that is otherwise empty. If only a few pieces began, the remaining ones would go before
/// pieces that can be finished in time.
#[derive(Debug, Default)]
pub struct PieceQueue {
    waiting: BTreeMap<PieceKey, QueuedPiece>,
    next_sequence: u64,
    open: OpenCalls,
    endpoints: FastMap<Arc<str>, EndpointLoadView>,
    capacity: ResultCapacity,
    times: PieceTimes,
    utilization: CallUtilization,
    /// Whether pieces that need a retry from the budget wait for one.
    holds_repeats: bool,
}

/// Priority of a piece at one endpoint; the lowest value goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum PiecePriority {
    /// The stage has begun.
    Begun { key: PieceKey },
    /// Can be finished in time: pieces that prefer another data centre go last, then by rank
    /// and due time.
    Timely { is_remote: bool, key: PieceKey },
    /// Cannot be finished in time: pieces that prefer another data centre go last, then those
    /// without inputs, then by due time.
    Late {
        is_remote: bool,
        lacks_inputs: bool,
        due: Instant,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PieceKey {
    rank: u8,
    due: Instant,
    sequence: u64,
}

impl PieceQueue {
    /// Queues one piece.
    pub fn push(&mut self, piece: QueuedPiece) {
        let key = PieceKey {
            rank: piece.task.rank,
            due: piece.task.due,
            sequence: self.next_sequence,
        };
        self.next_sequence += 1;
        self.waiting.insert(key, piece);
    }

    /// Sets whether pieces that need a retry from the budget may be sent.
    pub fn allow_repeats(&mut self, allowed: bool) {
        self.holds_repeats = !allowed;
    }

    /// Whether pieces are held because they need a retry.
    pub fn holds_repeats(&self) -> bool {
        self.holds_repeats && self.waiting.values().any(|piece| piece.needs_retry)
    }

    /// Returns the learned durations of calls.
    pub fn times(&self) -> &PieceTimes {
        &self.times
    }

    /// Returns the pool's throughput relative to that with full calls.
    pub fn utilization(&self) -> CallUtilization {
        self.utilization
    }

    /// Updates the learned durations with a call that was answered.
    pub fn observe(&mut self, profile: &PieceProfile, call: &PieceCall, elapsed: Duration) {
        self.times.observe(profile, &call.pieces, elapsed);
    }

    /// Returns the number of queued pieces.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no piece is queued.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Removes the pieces whose deadline has passed, for their requests to be notified.
    /// Abandoned pieces are dropped.
    pub fn take_expired(&mut self, now: Instant) -> Vec<QueuedPiece> {
        self.waiting.retain(|_, piece| !piece.task.is_abandoned());
        self.open.take_abandoned();
        let is_expired = |piece: &QueuedPiece| piece.task.deadline <= now;
        let expired: Vec<PieceKey> = self
            .waiting
            .iter()
            .filter(|(_, piece)| is_expired(piece))
            .map(|(key, _)| *key)
            .collect();
        let mut expired: Vec<QueuedPiece> = expired
            .iter()
            .filter_map(|key| self.waiting.remove(key))
            .collect();
        for piece in self.open.take_expired(now) {
            if !expired.iter().any(|other| other.is_same(&piece)) {
                expired.push(piece);
            }
        }
        expired
    }

    /// Closes the stalled calls for whose pieces no request waits.
    pub fn close_abandoned(&mut self) {
        self.open.take_abandoned();
    }

    /// Removes the pieces that have waited too long for spare endpoint time, for their requests
    /// to be notified.
    pub fn take_infeasible(
        &mut self,
        now: Instant,
        profile: &PieceProfile,
    ) -> Vec<(QueuedPiece, InfeasibleReason)> {
        let reasons = self.waiting.iter().filter_map(|(key, piece)| {
            let reason = InfeasibleReason::of_piece(now, profile, piece)?;
            Some((*key, reason))
        });
        let infeasible: Vec<(PieceKey, InfeasibleReason)> = reasons.collect();
        let taken = infeasible.into_iter().filter_map(|(key, reason)| {
            let piece = self.waiting.remove(&key)?;
            Some((piece, reason))
        });
        taken.collect()
    }

    /// Returns the calls to make now, to endpoints that are probably free, and removes their
    /// pieces from the queue.
    pub fn next_calls(
        &mut self,
        now: Instant,
        profile: &PieceProfile,
        targets: &[PieceTarget<'_>],
    ) -> Vec<PieceCall> {
        let mut free: Vec<&PieceTarget<'_>> = targets
            .iter()
            .filter(|target| self.is_free(now, profile, target.endpoint))
            .collect();
        free.sort_by(|left, right| {
            let is_idle = |target: &PieceTarget<'_>| self.calls_at(target.endpoint) == 0;
            let idle_first = is_idle(right).cmp(&is_idle(left));
            let cost = |target: &PieceTarget<'_>| {
                target.cost * self.relative_duration(now, target.endpoint)
            };
            idle_first.then(cost(left).total_cmp(&cost(right)))
        });
        let mut calls = Vec::new();
        for target in free {
            if self.waiting.is_empty() {
                break;
            }
            let rivals: Vec<&PieceTarget<'_>> = match self.is_silent(target.endpoint) {
                true => targets
                    .iter()
                    .filter(|other| !self.is_silent(other.endpoint))
                    .collect(),
                false => Vec::new(),
            };
            let pieces = self.fill_call(now, profile, target, targets, &rivals);
            if pieces.is_empty() {
                continue;
            }
            let endpoint: Arc<str> = target.endpoint.into();
            self.capacity.reserve(&endpoint, result_bytes(&pieces));
            let duration = self.times.call(profile, &pieces);
            let duration_factor = target.cost * self.relative_duration(now, target.endpoint);
            let duration = duration.mul_f64(duration_factor.clamp(1.0, MAX_DURATION_FACTOR));
            let view = self.endpoints.entry(Arc::clone(&endpoint)).or_default();
            view.begin_call(now, duration);
            calls.push(PieceCall {
                number: self.open.begin(&pieces),
                endpoint,
                pieces,
            });
        }
        calls
    }

    /// Returns when [`Self::next_calls`] may have a call to make without any other event.
    pub fn next_due(&self, now: Instant, profile: &PieceProfile) -> Option<Instant> {
        let stalled_deadline = self.open.next_deadline();
        if self.waiting.is_empty() {
            return stalled_deadline;
        }
        let free_times = self.endpoints.values().filter_map(|view| view.free_at);
        let send_times = self.endpoints.values();
        let send_times = send_times.filter_map(|view| view.next_send(now, profile));
        let locality_waits = self.waiting.values().filter_map(|piece| {
            let has_preference = piece.task.preferred_data_center.is_some();
            has_preference.then(|| piece.queued + LOCALITY_WAIT)
        });
        let deadlines = self.waiting.values().map(|piece| piece.task.deadline);
        let expiry = self.capacity.next_expiry();
        let times = free_times
            .chain(send_times)
            .chain(locality_waits)
            .chain(deadlines)
            .chain(stalled_deadline)
            .chain(expiry);
        times.filter(|at| *at > now).min()
    }

    /// Records a result, which occupies capacity at its endpoint.
    pub fn record_result(
        &mut self,
        now: Instant,
        profile: &PieceProfile,
        endpoint: &Arc<str>,
        handle: ResultHandle,
        bytes: u64,
    ) {
        let expires = now + profile.result_lifetime;
        self.capacity
            .record_result(expires, endpoint, handle, bytes);
    }

    /// Records that a result is released.
    pub fn release(&mut self, handle: &ResultHandle) {
        self.capacity.release(handle);
    }

    /// Records that a call has been silent for its limit: its pieces are queued again, beside the
    /// call, and its endpoint is called only for want of others. Returns false if the call has no
    /// open piece any more, so that nothing is to be expected of it.
    ///
    /// Room for its results stays reserved. `call` has the pieces as they were sent.
    pub fn stall(&mut self, now: Instant, call: &PieceCall) -> bool {
        if let Some(view) = self.endpoints.get_mut(&call.endpoint) {
            view.stall_call(now);
        }
        self.record_denied(now, &call.endpoint);
        let is_open = self.open.stall(call.number);
        self.open.take_abandoned();
        for piece in &call.pieces {
            if !self.open.has(call.number, piece) {
                continue;
            }
            let mut piece = piece.clone();
            piece.failures += 1;
            piece.needs_retry = piece.was_sent;
            if piece.failures < MAX_FAILURES {
                self.push(piece);
            }
        }
        is_open && self.open.is_open(call.number)
    }

    /// Returns the stalled calls that are to be closed since the last call of this method.
    pub fn take_closed(&mut self) -> Vec<(CallNumber, CloseReason)> {
        self.open.take_closed()
    }

    /// Whether a piece of a call is still to be made: no other call has made it meanwhile.
    pub fn is_open(&self, call: CallNumber, piece: &QueuedPiece) -> bool {
        self.open.has(call, piece)
    }

    /// Records that a call has made a piece, which ends its copies elsewhere. Returns false for
    /// one that another call has made before, or that has ended: its result is not needed.
    pub fn complete(&mut self, call: CallNumber, piece: &QueuedPiece) -> bool {
        if !self.open.has(call, piece) {
            return false;
        }
        self.remove_copies(call, piece, CloseReason::Replaced);
        true
    }

    /// Records that a call has found that a piece can't be made. Returns false while another call
    /// has a copy that may still be: only the last one decides, or the one that replaces others.
    pub fn end_piece(&mut self, call: CallNumber, piece: &QueuedPiece) -> bool {
        if !self.open.has(call, piece) {
            return false;
        }
        let was_stalled = self.open.is_stalled(call);
        self.open.take(call, piece);
        if was_stalled && self.open.is_held(piece) {
            return false;
        }
        self.remove_copies(call, piece, CloseReason::Abandoned);
        true
    }

    /// Queues a piece again that a call has not made, and that nothing else works on. Returns a
    /// piece that has failed: it was in too many calls, and none of them can still make it.
    pub fn return_piece(
        &mut self,
        call: CallNumber,
        mut piece: QueuedPiece,
        is_failure: bool,
    ) -> Option<QueuedPiece> {
        if !self.open.has(call, &piece) {
            return None;
        }
        // The copies of a stalled call's pieces are queued already.
        let may_queue = !self.open.is_stalled(call);
        self.open.take(call, &piece);
        piece.failures += u32::from(is_failure);
        if may_queue && piece.failures < MAX_FAILURES {
            self.push(piece);
            return None;
        }
        let has_copy = self.open.is_held(&piece) || self.is_waiting(&piece);
        (!has_copy).then_some(piece)
    }

    fn remove_copies(&mut self, call: CallNumber, piece: &QueuedPiece, reason: CloseReason) {
        let may_have_copies = self.open.has_stalled();
        self.open.take(call, piece);
        if !may_have_copies {
            return;
        }
        self.open.take_from_all(piece, reason);
        if let Some(key) = self.waiting_key(piece) {
            self.waiting.remove(&key);
        }
    }

    fn is_waiting(&self, piece: &QueuedPiece) -> bool {
        self.waiting_key(piece).is_some()
    }

    fn waiting_key(&self, piece: &QueuedPiece) -> Option<PieceKey> {
        let key = |sequence| PieceKey {
            rank: piece.task.rank,
            due: piece.task.due,
            sequence,
        };
        let mut alike = self.waiting.range(key(0)..=key(u64::MAX));
        let found = alike.find(|(_, other)| other.is_same(piece));
        found.map(|(key, _)| *key)
    }

    /// Records that an endpoint has answered a call, with whatever outcome.
    pub fn record_answer(&mut self, endpoint: &str) {
        if let Some(view) = self.endpoints.get_mut(endpoint) {
            view.is_silent = false;
        }
    }

    /// Records the end of a call that had stalled, with the load that the endpoint reported.
    pub fn finish_stalled(
        &mut self,
        now: Instant,
        profile: &PieceProfile,
        call: &PieceCall,
        load: Option<LoadReport>,
    ) {
        if let Some(view) = self.endpoints.get_mut(&call.endpoint) {
            view.end_stalled();
        }
        self.record_end(now, profile, call, load);
    }

    /// Records the end of a call, with the load that the endpoint reported.
    pub fn finish(
        &mut self,
        now: Instant,
        profile: &PieceProfile,
        call: &PieceCall,
        load: Option<LoadReport>,
    ) {
        if let Some(view) = self.endpoints.get_mut(&call.endpoint) {
            view.end_call(now);
        }
        self.record_end(now, profile, call, load);
    }

    fn record_end(
        &mut self,
        now: Instant,
        profile: &PieceProfile,
        call: &PieceCall,
        load: Option<LoadReport>,
    ) {
        self.capacity
            .unreserve(&call.endpoint, result_bytes(&call.pieces));
        let Some(view) = self.endpoints.get_mut(&call.endpoint) else {
            return;
        };
        view.reported = load.map(|_| now);
        view.record_pace(now, load.and_then(|load| load.pace_percent));
        // One call of another entry may run while the next call of this entry waits at the
        // endpoint. If more calls wait ahead, the next call is held back here and collects
        // pieces.
        let own = view.call_count() as u32;
        let ahead = load.map_or(0, |load| load.waiting.saturating_sub(own));
        let typical = profile.call_duration(profile.batch.div_ceil(2));
        view.free_at = (ahead > 0).then(|| now + typical * ahead);
    }

    /// Pauses calls to an endpoint, after a call that was refused, failed or got no permit.
    pub fn record_denied(&mut self, now: Instant, endpoint: &str) {
        self.pause(endpoint, now + DENIED_PAUSE);
    }

    /// Pauses calls to an endpoint that had no capacity for results.
    pub fn record_lack_of_capacity(&mut self, now: Instant, endpoint: &str) {
        self.pause(endpoint, now + CAPACITY_PAUSE);
    }

    fn pause(&mut self, endpoint: &str, until: Instant) {
        if let Some(view) = self.endpoints.get_mut(endpoint) {
            view.free_at = view.free_at.max(Some(until));
        }
    }

    /// Removes the endpoints for which `is_present` returns false, except while they have
    /// calls.
    pub fn retain_endpoints(&mut self, is_present: impl Fn(&str) -> bool) {
        self.capacity.retain_endpoints(&is_present);
        self.endpoints
            .retain(|endpoint, view| view.call_count() > 0 || is_present(endpoint));
    }

    /// Returns the expected duration of a call to an endpoint, relative to the usual duration.
    fn relative_duration(&self, now: Instant, endpoint: &str) -> f64 {
        let view = self.endpoints.get(endpoint);
        view.map_or(1.0, |view| view.relative_duration(now))
    }

    /// Returns the number of this entry's calls at an endpoint.
    fn calls_at(&self, endpoint: &str) -> usize {
        let view = self.endpoints.get(endpoint);
        view.map_or(0, EndpointLoadView::call_count)
    }

    /// Whether a call at an endpoint has stalled, and it has sent nothing since.
    fn is_silent(&self, endpoint: &str) -> bool {
        let view = self.endpoints.get(endpoint);
        view.is_some_and(|view| view.is_silent)
    }

    fn is_free(&self, now: Instant, profile: &PieceProfile, endpoint: &str) -> bool {
        let Some(view) = self.endpoints.get(endpoint) else {
            return true;
        };
        let is_known = view.reported.is_none_or(|at| now < at + MAX_REPORT_AGE);
        let is_busy = is_known && view.free_at.is_some_and(|at| now < at);
        let next_send = view.next_send(now, profile);
        !is_busy && next_send.is_some_and(|at| at <= now)
    }

    /// Removes the pieces for the next call to `target` from the queue: only those that none of
    /// its `rivals` may work on.
    fn fill_call(
        &mut self,
        now: Instant,
        profile: &PieceProfile,
        target: &PieceTarget<'_>,
        targets: &[PieceTarget<'_>],
        rivals: &[&PieceTarget<'_>],
    ) -> Vec<QueuedPiece> {
        self.capacity.expire(now);
        let mut free_bytes = self
            .capacity
            .free(target.endpoint, profile.result_capacity_bytes);
        let call_time = profile.call_duration(profile.batch);
        let mut nearby_slots = NearbySlots::new(profile, targets);
        let mut candidates: Vec<(PiecePriority, PieceKey)> = Vec::new();
        for (key, piece) in &self.waiting {
            let task = &piece.task;
            let is_remote = match &task.preferred_data_center {
                Some(preferred) => &**preferred != target.data_center,
                None => false,
            };
            let is_held = self.holds_repeats && piece.needs_retry;
            let filter = &task.data_center_filter;
            let has_rival = rivals.iter().any(|rival| filter.has(rival.data_center));
            let is_allowed = filter.has(target.data_center) && !has_rival;
            if task.is_abandoned() || is_held || !is_allowed {
                continue;
            }
            let has_nearby_slot = task
                .preferred_data_center
                .as_deref()
                .is_some_and(|preferred| nearby_slots.try_take(preferred));
            if is_remote && has_nearby_slot && now < piece.queued + LOCALITY_WAIT {
                continue;
            }
            let is_timely = task.is_timely(now, call_time);
            let priority = match (task.is_begun(), is_timely) {
                (true, _) => PiecePriority::Begun { key: *key },
                (false, true) => PiecePriority::Timely {
                    is_remote,
                    key: *key,
                },
                (false, false) => PiecePriority::Late {
                    is_remote,
                    lacks_inputs: !task.has_inputs(),
                    due: key.due,
                },
            };
            candidates.push((priority, *key));
        }
        candidates.sort_unstable();
        let batch = profile.batch.max(1) as usize;
        let mut keys: Vec<PieceKey> = Vec::new();
        let mut lacked_capacity = false;
        let mut has_isolated = false;
        let is_same_stage = |left: &(PiecePriority, PieceKey),
                             right: &(PiecePriority, PieceKey)| {
            Arc::ptr_eq(&self.waiting[&left.1].task, &self.waiting[&right.1].task)
        };
        for stage in candidates.chunk_by(is_same_stage) {
            let space = batch - keys.len();
            let is_late = matches!(stage[0].0, PiecePriority::Late { .. });
            if is_late && !keys.is_empty() && stage.len() > space {
                continue;
            }
            let is_isolated = self.waiting[&stage[0].1].task.is_isolated();
            if is_isolated && !keys.is_empty() {
                continue;
            }
            for (_, key) in stage.iter().take(space) {
                // A later piece with a smaller result may still fit.
                let bytes = self.waiting[key].task.result_bytes;
                if bytes <= free_bytes {
                    free_bytes -= bytes;
                    keys.push(*key);
                } else {
                    lacked_capacity = true;
                }
            }
            if is_isolated && !keys.is_empty() {
                has_isolated = true;
                break;
            }
        }
        // Calls with isolated pieces are small on purpose and say nothing about the
        // utilization.
        if !keys.is_empty() && !has_isolated {
            self.utilization
                .observe(profile, keys.len() as u32, lacked_capacity);
        }
        let pieces: Vec<QueuedPiece> = keys
            .iter()
            .filter_map(|key| self.waiting.remove(key))
            .collect();
        for piece in &pieces {
            piece.task.begun.store(true, Ordering::Relaxed);
        }
        pieces
    }
}

fn result_bytes(pieces: &[QueuedPiece]) -> u64 {
    pieces.iter().map(|piece| piece.task.result_bytes).sum()
}

#[cfg(test)]
#[path = "piece_queue_tests.rs"]
pub(super) mod tests;

#[cfg(test)]
#[path = "piece_queue_stall_tests.rs"]
mod stall_tests;
