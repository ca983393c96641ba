use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Mutex, PoisonError};

use prost::Message;
use tokio::sync::watch;
use tokio::task::AbortHandle;

use super::{
    BootClock, BootTime, Confirmation, EntryCapacity, FollowCall, FollowOutcome, FollowReply,
    FollowState, FollowTimeouts, FollowUpdate, MemberRing,
};
use crate::control::{ControlOutcome, ControlVerdict};
use crate::generated::control_link::control_call::Call;
use crate::generated::control_link::control_response::Response;
use crate::generated::control_link::{ControlCall, ControlResponse};
use crate::prelude::*;
use crate::quarantine::{QuarantineCommand, QuarantineOutcome};
use crate::transport::{LinkChannel, LinkHub, PeerName};

/// Pause after a failed call, which prevents a busy loop in deployments without control.
const FAILURE_PAUSE: Duration = Duration::from_millis(60);

/// Shortest time without a confirmation after which the next one is logged: longer than two
/// holds, so that regular answers are not logged.
const MIN_LOGGED_SILENCE: Duration = Duration::from_millis(1_200);

/// Timeout of a crash report: the decision by the log and the round trip to it.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Options of an [`EntryFollower`].
#[derive(Clone, Debug)]
pub struct FollowOptions {
    /// Control daemons to call first.
    pub seeds: Vec<PeerName>,
    /// Number that differs between entries; it gives each entry its own order of the control
    /// daemons, which spreads the entries over them.
    pub order_key: u64,
    /// Longest time for which confirmed state may be used without another confirmation.
    pub max_age: Duration,
    /// Time between two announcements of an endpoint.
    pub announce_interval: Duration,
    /// Capacity that this entry reports at first.
    pub capacity: EntryCapacity,
}

/// Why control has not decided on a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportFailure {
    /// Control can't decode the report; sending it again is useless.
    Unreadable(String),
    /// Control has not decided; the report may be sent again.
    Undecided(String),
}

/// Follows control on behalf of the request path of an entry.
#[derive(Debug)]
pub struct EntryFollower {
    hub: LinkHub,
    clock: BootClock,
    is_leaving: AtomicBool,
    /// Capacity that this entry reports, in thousandths of a core.
    capacity: AtomicU32,
    state: Mutex<FollowState>,
    seeds: watch::Sender<Vec<PeerName>>,
    /// The control daemon that is called now.
    current_target: watch::Sender<Option<PeerName>>,
    confirmed: watch::Sender<Option<Confirmation>>,
    change_count: watch::Sender<u64>,
    task: Mutex<Option<AbortHandle>>,
}

impl Drop for EntryFollower {
    fn drop(&mut self) {
        let task = self.task.get_mut().unwrap_or_else(PoisonError::into_inner);
        if let Some(task) = task.take() {
            task.abort();
        }
    }
}

impl EntryFollower {
    /// Starts the task that calls control; the task ends when the follower is dropped.
    pub fn start(hub: LinkHub, options: FollowOptions) -> Arc<Self> {
        let follower = Arc::new(Self {
            hub,
            clock: BootClock,
            is_leaving: AtomicBool::new(false),
            capacity: AtomicU32::new(options.capacity.0),
            state: Mutex::new(FollowState::with_interval(options.announce_interval)),
            seeds: watch::Sender::new(options.seeds.clone()),
            current_target: watch::Sender::default(),
            confirmed: watch::Sender::default(),
            change_count: watch::Sender::default(),
            task: Mutex::default(),
        });
        let mut timeouts = FollowTimeouts::for_max_age(options.max_age);
        let ring = MemberRing::new(options.seeds, options.order_key);
        let weak = Arc::downgrade(&follower);
        let task = tokio::spawn(async move {
            let mut ring = ring;
            while let Some(follower) = weak.upgrade() {
                follower.follow_once(&mut ring, &mut timeouts).await;
            }
        });
        let mut handle = follower.task.lock().unwrap_or_else(PoisonError::into_inner);
        *handle = Some(task.abort_handle());
        drop(handle);
        follower
    }

    /// Calls `read` with the state received so far.
    pub fn read<T>(&self, read: impl FnOnce(&FollowState) -> T) -> T {
        read(&self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Calls `read` with mutable access to the state, so that it can drain the recorded
    /// changes ([`FollowState::take_changed`]).
    pub fn read_changes<T>(&self, read: impl FnOnce(&mut FollowState) -> T) -> T {
        read(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// The last confirmation and its age; `None` before the first one. All changes that
    /// arrived with it or before it are counted in [`Self::change_count`] by the time it is
    /// returned here.
    pub fn confirmed(&self) -> Option<(Confirmation, Duration)> {
        let confirmed = *self.confirmed.borrow();
        confirmed.map(|confirmed| (confirmed, self.clock.now().since(confirmed.at)))
    }

    /// Number of replies so far that changed the document, the endpoints, the entries, the
    /// quarantine or the evacuations.
    pub fn change_count(&self) -> u64 {
        *self.change_count.borrow()
    }

    /// A receiver of the [change count](Self::change_count).
    pub fn watch_changes(&self) -> watch::Receiver<u64> {
        self.change_count.subscribe()
    }

    /// Marks this entry as leaving in its next calls, so that control removes it from the
    /// list of entries.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Capacity that this entry reports in its calls.
    pub fn capacity(&self) -> EntryCapacity {
        EntryCapacity(self.capacity.load(Ordering::Relaxed))
    }

    /// Sets the capacity that this entry reports in its next calls.
    pub fn set_capacity(&self, capacity: EntryCapacity) {
        self.capacity.store(capacity.0, Ordering::Relaxed);
    }

    /// Replaces the seeds after a change of the settings.
    pub fn set_seeds(&self, seeds: Vec<PeerName>) {
        self.seeds.send_replace(seeds);
    }

    /// Reports requests under which endpoints crash to the control daemon that is followed,
    /// and waits for the decision.
    ///
    /// # Errors
    ///
    /// [`ReportFailure`] shows whether sending the report again can help.
    pub async fn report(
        &self,
        report: QuarantineCommand,
    ) -> std::result::Result<QuarantineOutcome, ReportFailure> {
        let Some(target) = self.current_target.borrow().clone() else {
            return Err(ReportFailure::Undecided(
                "no control daemon is known".into(),
            ));
        };
        let answer = self.call(&target, Call::Quarantine(report), REPORT_TIMEOUT);
        let answer = answer.await.map_err(ReportFailure::Undecided)?;
        let Response::Outcome(ControlOutcome { outcome }) = answer else {
            let reason = format!("unexpected answer: {answer:?}");
            return Err(ReportFailure::Undecided(reason));
        };
        match outcome {
            Some(ControlVerdict::Quarantine(outcome)) => Ok(outcome),
            Some(ControlVerdict::Malformed(malformed)) => {
                Err(ReportFailure::Unreadable(malformed.message))
            }
            other => {
                let reason = format!("unexpected outcome: {other:?}");
                Err(ReportFailure::Undecided(reason))
            }
        }
    }

    /// Waits until the quarantine lists have arrived here in at least the revisions of `outcome`.
    pub async fn wait_for_quarantine(&self, outcome: &QuarantineOutcome) {
        let mut changes = self.change_count.subscribe();
        let reached = |_: &u64| {
            self.read(|state| {
                let list = state.quarantine();
                list.revision() >= outcome.revision && list.part_revision() >= outcome.part_revision
            })
        };
        if changes.wait_for(reached).await.is_err() {
            log_event!(debug, "follower_ended");
        }
    }

    async fn follow_once(&self, ring: &mut MemberRing, timeouts: &mut FollowTimeouts) {
        ring.set_seeds(self.seeds.borrow().clone());
        let Some(target) = ring.current().cloned() else {
            tokio::time::sleep(FAILURE_PAUSE).await;
            return;
        };
        self.current_target.send_replace(Some(target.clone()));
        let outcome = match ring.is_settled() {
            true => self.request_update(&target, timeouts).await,
            false => self.request_members(&target, timeouts).await,
        };
        let outcome = match outcome {
            // A daemon of an earlier version ignores `only_members` and answers in full.
            Ok(answer) if ring.is_settled() || answer.reply.confirmed => {
                self.handle_answer(&target, ring, answer)
            }
            Ok(answer) if ring.update_members(&answer.reply.members) => return,
            Ok(_) => FollowOutcome::Unconfirmed,
            Err(reason) => {
                log_event!(
                    info,
                    "control_lost",
                    asked = target,
                    document = self.read(FollowState::document_number),
                    age_ms = self.age_ms(),
                    reason = reason
                );
                FollowOutcome::Lost
            }
        };
        if outcome != FollowOutcome::Confirmed {
            tokio::time::sleep(FAILURE_PAUSE).await;
        }
        if !timeouts.record(outcome) {
            return;
        }
        ring.advance();
        if outcome == FollowOutcome::Unconfirmed {
            log_event!(
                info,
                "control_unsure",
                asked = target,
                document = self.read(FollowState::document_number),
                age_ms = self.age_ms()
            );
        }
    }

    /// Age of the last confirmation in milliseconds, for logs; 0 before the first one.
    fn age_ms(&self) -> u128 {
        let confirmed = self.confirmed();
        confirmed.map_or(0, |(_, age)| age.as_millis())
    }

    fn handle_answer(
        &self,
        target: &PeerName,
        ring: &mut MemberRing,
        answer: TimedReply,
    ) -> FollowOutcome {
        let is_confirmed = answer.reply.confirmed;
        let silence = self.confirmed().map(|(_, age)| age);
        ring.apply_member_names(&answer.reply.members);
        self.apply_reply(answer.sent, answer.reply);
        if !is_confirmed {
            return FollowOutcome::Unconfirmed;
        }
        ring.settle();
        self.log_long_silence(target, silence);
        FollowOutcome::Confirmed
    }

    /// Logs a confirmation that came after a long time without one.
    fn log_long_silence(&self, target: &PeerName, silence: Option<Duration>) {
        let Some(silence) = silence.filter(|silence| *silence >= MIN_LOGGED_SILENCE) else {
            return;
        };
        log_event!(
            info,
            "control_heard",
            asked = target,
            document = self.read(FollowState::document_number),
            silence_ms = silence.as_millis()
        );
    }

    async fn request_update(
        &self,
        target: &PeerName,
        timeouts: &FollowTimeouts,
    ) -> std::result::Result<TimedReply, String> {
        let mut call = self.read(|state| state.next_call(timeouts.hold()));
        call.leaving = self.is_leaving.load(Ordering::Relaxed);
        call.capacity_millicores = self.capacity.load(Ordering::Relaxed);
        let sent = self.clock.now();
        let timeout = timeouts.answer_timeout();
        match self.call(target, Call::Follow(call), timeout).await? {
            Response::Follow(reply) => Ok(TimedReply { sent, reply }),
            other => Err(format!("unexpected answer: {other:?}")),
        }
    }

    /// Asks only for the control daemons. Starting entries all call the same few seeds, which
    /// could not send the whole state to each of them.
    async fn request_members(
        &self,
        target: &PeerName,
        timeouts: &FollowTimeouts,
    ) -> std::result::Result<TimedReply, String> {
        let call = FollowCall::for_members();
        let sent = self.clock.now();
        let timeout = timeouts.answer_timeout();
        match self.call(target, Call::Follow(call), timeout).await? {
            Response::Follow(reply) => Ok(TimedReply { sent, reply }),
            other => Err(format!("unexpected answer: {other:?}")),
        }
    }

    async fn call(
        &self,
        target: &PeerName,
        call: Call,
        timeout: Duration,
    ) -> std::result::Result<Response, String> {
        let call = ControlCall { call: Some(call) };
        let payload = call.encode_to_vec().into();
        let channel = LinkChannel::Control;
        let answer = self
            .hub
            .call(target.as_str(), channel, payload, timeout)
            .await;
        let answer = answer.map_err(|error| error.to_string())?;
        let answer = ControlResponse::decode(answer).map_err(|error| error.to_string())?;
        answer
            .response
            .ok_or_else(|| "answer without a known response".into())
    }

    /// Applies the answer to a call that was sent at `sent`.
    pub(crate) fn apply_reply(&self, sent: BootTime, reply: FollowReply) {
        let now = self.clock.now();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let update = state.apply(sent, now, reply);
        let confirmed = state.confirmation();
        drop(state);
        if update != FollowUpdate::default() {
            self.change_count.send_modify(|count| *count += 1);
        }
        // After the change count, so that a reader of a confirmation also finds its changes
        // counted.
        self.confirmed.send_if_modified(|known| {
            let is_new = *known != confirmed;
            *known = confirmed;
            is_new
        });
    }
}

/// An answer with the time at which its call was sent.
struct TimedReply {
    sent: BootTime,
    reply: FollowReply,
}
