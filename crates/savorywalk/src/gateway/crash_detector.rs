use opentelemetry::metrics::{Counter, Meter};
use tokio::sync::{mpsc, oneshot};

use super::answered_requests::AnsweredRequests;
use super::crash_report::{CrashReport, FailedCalls, build_reports};
use super::endpoint_call::CallError;
use super::endpoint_paths::EndpointNetwork;
use crate::prelude::*;
use crate::quarantine::{
    AnsweredPrompt, CrashSuspect, PartId, QUARANTINE_TIME, QuarantineCommand, RequestDigest,
    SuspectRequest,
};
use crate::registry::{EntryFollower, ReportFailure};

/// Capacity of the event queue. Events beyond it are dropped and reported only if they
/// occur again.
const MAX_QUEUED_EVENTS: usize = 4_096;

/// Time during which events are collected into one batch: all calls at an endpoint that
/// crashes fail within a few milliseconds.
const BATCH_TIME: Duration = Duration::from_millis(20);

/// Timeout of a test connection to an endpoint whose calls failed. A crashed endpoint
/// refuses at once; one that does not answer in this time serves no requests either.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Longest wait of a resend for control's decision: several times as long as a decision
/// takes with a leader, and too short for callers to notice beside the stages that a resend
/// needs.
const DECISION_TIMEOUT: Duration = Duration::from_millis(200);

/// Delay before an undecided report is sent to control again. It starts at a fraction of an
/// election and doubles, because control may be unreachable for long or run an older
/// version.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Maximum number of reports queued for control; beyond it the oldest are dropped.
const MAX_UNREPORTED: usize = 64;

/// Interval between two reports that a quarantined request still comes in. A few of them
/// may be lost before control releases the request after [`QUARANTINE_TIME`].
const REFUSED_INTERVAL: Duration = Duration::from_secs(QUARANTINE_TIME.as_secs() / 6);

/// Detects crashed endpoints and reports the requests that they were working on to control.
///
/// Its task runs on the runtime that follows control, so that overload of the requests'
/// runtime does not delay a report while the same request crashes more endpoints.
#[derive(Debug)]
pub(super) struct CrashDetector {
    events: mpsc::Sender<DetectorEvent>,
    answered: AnsweredRequests,
}

/// An observation of the request path.
#[derive(Debug)]
pub(super) enum DetectorEvent {
    /// A call was cut or timed out while an endpoint worked on it.
    Failed(FailedCall, DecisionSender),
    /// A request that is quarantined, itself or by a part, came in again and was refused.
    Refused(CrashSuspect),
    /// A quarantined request was answered recently.
    Answered(RequestDigest),
    /// A request was answered that was sent while parts of its prompt were watched.
    PromptAnswered(AnsweredPrompt),
}

/// A call that was cut or timed out.
#[derive(Clone, Debug)]
pub(super) struct FailedCall {
    /// Identity of the endpoint's incarnation.
    pub(super) endpoint: String,
    /// Address at which the endpoint accepted requests; `None` if it has left the roster.
    pub(super) address: Option<SocketAddr>,
    /// How the call failed.
    pub(super) failure: CallFailure,
    /// Digest of the request.
    pub(super) digest: RequestDigest,
    /// What is known of its prompt; without parts for a call that is no prompt.
    pub(super) prompt: SuspectRequest,
}

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallFailure {
    /// The connection ended before the answer did.
    Cut,
    /// The answer did not arrive in time.
    TimedOut,
}

impl CallFailure {
    /// How a call failed whose answer had begun; `None` if that shows nothing about a crash,
    /// because the entry itself closed the connection.
    pub(super) fn of(error: &CallError) -> Option<Self> {
        match error {
            CallError::TooLarge(_) => None,
            CallError::Unsent(_)
            | CallError::Withheld(_)
            | CallError::OverBudget
            | CallError::Silent
            | CallError::Broken(_)
            | CallError::Lost(_) => Some(Self::Cut),
        }
    }
}

/// Ends a [`DecisionWait`] when it is dropped.
pub(super) type DecisionSender = oneshot::Sender<()>;

/// A wait for control's decision on a failed call: whether its endpoint crashed, and
/// whether the request is considered the cause.
#[derive(Debug)]
pub(super) struct DecisionWait(oneshot::Receiver<()>);

impl DecisionWait {
    /// Waits for [`DECISION_TIMEOUT`] at most, since a harmless request should be resent
    /// soon.
    pub(super) async fn wait(self) {
        // Nothing is ever sent; the wait ends when the sender is dropped.
        if tokio::time::timeout(DECISION_TIMEOUT, self.0)
            .await
            .is_err()
        {
            log_event!(debug, "verdict_late");
        }
    }
}

/// Result of a test connection to an endpoint whose calls failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndpointProbe {
    /// It accepts connections.
    Accepts,
    /// Nothing listens at its address.
    Refuses,
    /// The connection attempt timed out.
    Silent,
}

impl CrashDetector {
    /// Starts the detector on the current runtime.
    pub(super) fn start(
        follower: &Arc<EntryFollower>,
        network: Arc<dyn EndpointNetwork>,
        meter: &Meter,
    ) -> Self {
        let (events, receiver) = mpsc::channel(MAX_QUEUED_EVENTS);
        let task = DetectorTask {
            follower: Arc::clone(follower),
            network,
            crashes: meter
                .u64_counter("savorywalk_gateway_endpoint_crashes")
                .with_description("Endpoints that crashed while they worked for this entry")
                .build(),
            last_reported: BTreeMap::new(),
            unreported: VecDeque::new(),
            retry_delay: FIRST_RETRY_DELAY,
        };
        tokio::spawn(task.run(receiver));
        Self {
            events,
            answered: AnsweredRequests::default(),
        }
    }

    /// Records a failed call, unless an endpoint has answered its request recently.
    pub(super) fn record_failed_call(&self, call: FailedCall) -> DecisionWait {
        let (sender, receiver) = oneshot::channel();
        if !self.answered.was_answered(Instant::now(), &call.digest) {
            self.record(DetectorEvent::Failed(call, sender));
        }
        DecisionWait(receiver)
    }

    /// Records that a request came in again that is quarantined because of `suspect`.
    pub(super) fn record_refused(&self, suspect: CrashSuspect) {
        self.record(DetectorEvent::Refused(suspect));
    }

    /// Records that an endpoint answered in full a request with watched parts, which was sent
    /// when this entry had the part lists of `revision`.
    pub(super) fn record_answered_parts(&self, parts: &BTreeSet<PartId>, revision: u64) {
        self.record(DetectorEvent::PromptAnswered(AnsweredPrompt {
            parts: parts.iter().map(|part| part.0).collect(),
            part_revision: revision,
        }));
    }

    /// Records that an endpoint answered a request.
    pub(super) fn record_answered(&self, digest: RequestDigest) {
        self.answered.record(Instant::now(), digest);
    }

    /// Disputes the quarantine of a request that was answered recently.
    pub(super) fn dispute(&self, digest: &RequestDigest) {
        if self.answered.was_answered(Instant::now(), digest) {
            log_event!(info, "quarantine_disputed", digest = digest);
            self.record(DetectorEvent::Answered(*digest));
        }
    }

    fn record(&self, event: DetectorEvent) {
        if let Err(error) = self.events.try_send(event) {
            log_event!(debug, "crash_note_dropped", reason = error);
        }
    }
}

struct DetectorTask {
    follower: Arc<EntryFollower>,
    network: Arc<dyn EndpointNetwork>,
    crashes: Counter<u64>,
    /// When control was last informed that a quarantined request or part still comes in.
    last_reported: BTreeMap<CrashSuspect, Instant>,
    /// Reports that control has not decided on yet, oldest first.
    unreported: VecDeque<CrashReport>,
    /// Delay before an undecided report is sent again.
    retry_delay: Duration,
}

impl DetectorTask {
    async fn run(mut self, mut events: mpsc::Receiver<DetectorEvent>) {
        loop {
            let has_unreported = !self.unreported.is_empty();
            tokio::select! {
                event = events.recv() => {
                    let Some(first) = event else {
                        return;
                    };
                    let batch = collect_batch(first, &mut events).await;
                    let reports = self.evaluate(batch).await;
                    self.enqueue(reports);
                }
                () = tokio::time::sleep(self.retry_delay), if has_unreported => {}
            }
            self.send_reports().await;
        }
    }

    /// Queues reports until control has decided on them. Without a leader, a request that
    /// crashes endpoints is not stopped, so what was observed must count as soon as there
    /// is one.
    fn enqueue(&mut self, reports: Vec<CrashReport>) {
        self.unreported.extend(reports);
        while self.unreported.len() > MAX_UNREPORTED {
            let dropped = self.unreported.pop_front();
            let crashes = dropped.map_or(0, |report| report.command.crashes.len());
            log_event!(warn, "crash_report_lost", crashes = crashes);
        }
    }

    /// Sends the queued reports in order until control can't decide on one.
    async fn send_reports(&mut self) {
        while let Some(report) = self.unreported.front() {
            let outcome = match self.follower.report(report.command.clone()).await {
                Ok(outcome) => outcome,
                Err(failure) if self.drop_unreadable(&failure) => continue,
                Err(_) => return,
            };
            self.retry_delay = FIRST_RETRY_DELAY;
            if !report.waiters.is_empty() {
                // The requests that wait check the quarantine list next, so it must be up
                // to date here.
                let updating = self.follower.wait_for_quarantine(&outcome);
                if tokio::time::timeout(DECISION_TIMEOUT, updating)
                    .await
                    .is_err()
                {
                    log_event!(
                        debug,
                        "quarantine_not_reached",
                        revision = outcome.revision,
                        part_revision = outcome.part_revision
                    );
                }
            }
            self.unreported.pop_front();
        }
    }

    /// Drops the oldest report if control can't read it, so that it does not block those
    /// behind it. After any other failure the report is kept and sent again after a delay.
    fn drop_unreadable(&mut self, failure: &ReportFailure) -> bool {
        match failure {
            ReportFailure::Unreadable(reason) => {
                let dropped = self.unreported.pop_front();
                let crashes = dropped.map_or(0, |report| report.command.crashes.len());
                log_event!(
                    warn,
                    "crash_report_unreadable",
                    crashes = crashes,
                    reason = reason
                );
                true
            }
            ReportFailure::Undecided(reason) => {
                log_event!(
                    debug,
                    "crash_report_untaken",
                    untold = self.unreported.len(),
                    reason = reason
                );
                self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
                false
            }
        }
    }

    /// Tests the endpoints of failed calls, and builds the reports for control.
    async fn evaluate(&mut self, events: Vec<DetectorEvent>) -> Vec<CrashReport> {
        let now = Instant::now();
        let mut failed_calls = FailedCalls::default();
        let mut command = QuarantineCommand::default();
        for event in events {
            match event {
                DetectorEvent::Failed(call, waiter) => failed_calls.add(call, waiter),
                DetectorEvent::Refused(suspect) if self.is_refusal_due(now, suspect) => {
                    match suspect {
                        CrashSuspect::Request(digest) => command.refused.push(digest.to_bytes()),
                        CrashSuspect::Part(part) => command.refused_parts.push(part.0),
                    }
                }
                DetectorEvent::Refused(_) => {}
                DetectorEvent::Answered(digest) => command.answered.push(digest.to_bytes()),
                DetectorEvent::PromptAnswered(prompt) => {
                    if !command.answered_prompts.contains(&prompt) {
                        command.answered_prompts.push(prompt);
                    }
                }
            }
        }
        let network = &self.network;
        let probes = failed_calls
            .endpoints()
            .map(|(endpoint, address)| async move {
                let probe = match address {
                    Some(address) => probe_endpoint(network.as_ref(), address).await,
                    // It may be leaving, and still serve its calls.
                    None => EndpointProbe::Silent,
                };
                (endpoint.to_string(), probe)
            });
        let probes = futures::future::join_all(probes).await;
        for (endpoint, probe) in probes {
            // An overloaded endpoint does not answer either, but it does not cut
            // connections.
            let has_crashed = match probe {
                EndpointProbe::Accepts => false,
                EndpointProbe::Refuses => true,
                EndpointProbe::Silent => failed_calls.was_cut(&endpoint),
            };
            log_event!(
                info,
                "endpoint_calls_broken",
                endpoint = endpoint,
                crashed = has_crashed,
                digests = failed_calls.digest_list(&endpoint)
            );
            match has_crashed {
                true => self.crashes.add(1, &[]),
                false => failed_calls.remove(&endpoint),
            }
        }
        build_reports(command, failed_calls)
    }

    /// Whether control should be informed now that a quarantined request or part still comes in.
    fn is_refusal_due(&mut self, now: Instant, suspect: CrashSuspect) -> bool {
        self.last_reported
            .retain(|_, at| now.saturating_duration_since(*at) < REFUSED_INTERVAL);
        let is_due = !self.last_reported.contains_key(&suspect);
        if is_due {
            self.last_reported.insert(suspect, now);
        }
        is_due
    }
}

/// Collects the events that arrive within [`BATCH_TIME`] of the first one.
async fn collect_batch(
    first: DetectorEvent,
    events: &mut mpsc::Receiver<DetectorEvent>,
) -> Vec<DetectorEvent> {
    tokio::time::sleep(BATCH_TIME).await;
    let mut batch = vec![first];
    while let Ok(next) = events.try_recv() {
        batch.push(next);
    }
    batch
}

/// Tests whether an endpoint still accepts connections. A call can fail for reasons other
/// than a crash, and such a failure is no evidence against its request.
async fn probe_endpoint(network: &dyn EndpointNetwork, address: SocketAddr) -> EndpointProbe {
    let connecting = tokio::time::timeout(PROBE_TIMEOUT, network.connect(address));
    match connecting.await {
        Ok(Ok(_)) => EndpointProbe::Accepts,
        Ok(Err(_)) => EndpointProbe::Refuses,
        Err(_) => EndpointProbe::Silent,
    }
}

#[cfg(test)]
#[path = "crash_detector_tests.rs"]
mod tests;
