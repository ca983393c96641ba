use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwapOption;
use prost::Message;
use tokio::sync::{Notify, mpsc, watch};

use super::confirmation_batcher::{self, ConfirmationBatcher};
use super::entry_list::FollowerList;
use super::quarantine_batcher::{self, QuarantineBatcher};
use super::report_outbox::ReportOutbox;
use super::voter_supervisor::VoterSupervisor;
use super::{EndpointReport, RegistryError, RegistryTable, ReportOutcome, Result};
use crate::control::{
    ControlAnswer, ControlBody, ControlCommand, ControlQuery, ControlQuestion, ControlVerdict,
    DocumentCommand, DocumentOutcome, EndpointIncarnation, StatusQuery, VoterRoster, VoterService,
};
use crate::generated::control_link::control_call::Call;
use crate::generated::control_link::control_response::Response;
use crate::generated::control_link::{ControlCall, ControlResponse};
use crate::prelude::*;
use crate::transport::{CallRefusal, InboundCall, LinkChannel, LinkHub, PeerName};

/// Timeout of a decision of the log. Callers wait one second for an answer.
const DECIDE_TIMEOUT: Duration = Duration::from_millis(900);

/// Timeout of a call to the leader. A leader that has ended must not use up [`DECIDE_TIMEOUT`].
const LEADER_CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Pause before the next attempt to reach a leader.
const LEADER_RETRY_PAUSE: Duration = Duration::from_millis(40);

/// Announcement intervals after a start by which every live endpoint is listed. Two
/// announcements may be late or lost on a bad link.
const LISTING_ANNOUNCEMENTS: u32 = 3;

/// Time without a leader in which announcements are still accepted. It covers an election, and
/// is shorter than the time after which an endpoint counts as silent.
const LEADERLESS_GRACE_TIME: Duration = Duration::from_millis(1_500);

/// Minimum time between the starts of two confirmation rounds, multiplied by the number of
/// control daemons. The leader then gets the same number of calls per second for any number of
/// daemons.
const ROUND_PAUSE: Duration = Duration::from_millis(2);

/// A daemon keeps endpoints up to its equal share plus that share divided by this number.
const FAIR_SHARE_PARTS: usize = 4;

/// Announcement intervals after a start in which announcements are accepted though no leader is
/// known yet.
const START_ANNOUNCEMENTS: u32 = 10;

/// Timeout of one confirmation round.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(600);

/// Start options of a registry node, taken from the settings.
#[derive(Clone, Debug)]
pub struct RegistryOptions {
    /// Data folder of the voter, which must survive restarts.
    pub folder: PathBuf,
    /// Daemons that hold replicas of the log.
    pub roster: VoterRoster,
    /// Time between two announcements of an endpoint.
    pub announce_interval: Duration,
    /// Maximum number of listed endpoints.
    pub max_endpoints: usize,
    /// Data centres that the settings name; may be empty or incomplete.
    pub data_centers: Vec<String>,
}

/// The registry of one control daemon: its voter, the table of endpoints, and the list of
/// entries that follow control.
#[derive(Debug)]
pub struct RegistryNode {
    pub(super) hub: LinkHub,
    pub(super) supervisor: Arc<VoterSupervisor>,
    pub(super) table: Mutex<RegistryTable>,
    pub(super) revision: watch::Sender<u64>,
    pub(super) outbox: Mutex<ReportOutbox>,
    pub(super) urgent: Notify,
    deferred_publish: Notify,
    pub(super) confirmation_batcher: ConfirmationBatcher,
    pub(super) followers: Mutex<FollowerList>,
    /// Daemons whose digests differ from the lists here, so that their lists must be fetched.
    outdated_members: Mutex<BTreeSet<PeerName>>,
    pub(super) lists_needed: Notify,
    pub(super) quarantine_batcher: QuarantineBatcher,
    /// Time by which every live endpoint has announced itself since this daemon started.
    pub(super) listing_complete_at: Instant,
    pub(super) data_centers: Vec<String>,
    max_endpoints: usize,
    /// Number of control daemons.
    pub(super) members: AtomicUsize,
    /// Number of retirements in the log that were applied to the table.
    pub(super) retired_total: AtomicU64,
    /// Time until which announcements are accepted without a leader.
    accept_until: Mutex<Instant>,
}

impl RegistryNode {
    /// Starts the voter, the exchange with the other control daemons, and all background tasks.
    pub fn start(hub: LinkHub, options: RegistryOptions) -> Arc<Self> {
        let supervisor = Arc::new(VoterSupervisor {
            hub: hub.clone(),
            folder: options.folder,
            roster: options.roster,
            current: ArcSwapOption::empty(),
            revisions: watch::Sender::default(),
            is_stopping: AtomicBool::new(false),
        });
        let (confirmation_batcher, callers) = ConfirmationBatcher::new();
        let (quarantine_batcher, reports) = QuarantineBatcher::new();
        let interval = options.announce_interval;
        let table = RegistryTable::with_limit(rand::random(), interval, options.max_endpoints);
        let node = Arc::new(Self {
            supervisor: Arc::clone(&supervisor),
            table: Mutex::new(table),
            revision: watch::Sender::default(),
            outbox: Mutex::new(ReportOutbox::new(options.announce_interval)),
            urgent: Notify::new(),
            deferred_publish: Notify::new(),
            confirmation_batcher,
            followers: Mutex::new(FollowerList::new(rand::random())),
            outdated_members: Mutex::default(),
            lists_needed: Notify::new(),
            quarantine_batcher,
            listing_complete_at: Instant::now() + options.announce_interval * LISTING_ANNOUNCEMENTS,
            data_centers: options.data_centers,
            max_endpoints: options.max_endpoints,
            accept_until: Mutex::new(
                Instant::now() + options.announce_interval * START_ANNOUNCEMENTS,
            ),
            members: AtomicUsize::new(1),
            retired_total: AtomicU64::new(0),
            hub: hub.clone(),
        });
        tokio::spawn(supervisor.run());
        let (rounds, pausing) = (Arc::clone(&node), Arc::clone(&node));
        let pause = move || ROUND_PAUSE * pausing.members.load(Ordering::Relaxed) as u32;
        tokio::spawn(confirmation_batcher::run_rounds(
            callers,
            pause,
            move || Arc::clone(&rounds).confirm_once(),
        ));
        let decisions = Arc::clone(&node);
        tokio::spawn(quarantine_batcher::decide_batches(
            reports,
            move |command| Arc::clone(&decisions).decide_quarantine(command),
        ));
        tokio::spawn(Arc::clone(&node).expire_old_records());
        tokio::spawn(Arc::clone(&node).run_flushes());
        tokio::spawn(Arc::clone(&node).publish_deferred());
        tokio::spawn(Arc::clone(&node).fetch_lists());
        tokio::spawn(Arc::clone(&node).apply_batches(hub.subscribe(LinkChannel::Directory)));
        tokio::spawn(Arc::clone(&node).serve_calls(hub.serve(LinkChannel::Control)));
        node
    }

    /// Whether this daemon knows a leader, which may be itself.
    pub fn has_leader(&self) -> bool {
        self.voter().is_some_and(|voter| voter.leader().is_some())
    }

    /// Whether endpoints may announce themselves here. A daemon that has lost contact with the
    /// others rejects announcements, so that endpoints try another daemon. For a short time
    /// without a leader, or after a start of all daemons, announcements are still accepted:
    /// endpoints that try one daemon after the other would keep them from finding a leader.
    fn accepts_announcements(&self) -> bool {
        let now = Instant::now();
        let accept_until = self.accept_until.lock();
        let mut accept_until = accept_until.unwrap_or_else(PoisonError::into_inner);
        if self.has_leader() {
            *accept_until = now + LEADERLESS_GRACE_TIME;
        }
        now < *accept_until
    }

    /// Applies an announcement that an endpoint sent to this daemon. Announcements of retired
    /// incarnations are ignored.
    ///
    /// # Errors
    ///
    /// Fails when no leader is known, when the endpoint is listed at another address, pool or
    /// data centre, or when the table is full.
    pub fn announce(&self, report: EndpointReport) -> Result<()> {
        if !self.accepts_announcements() {
            return Err(RegistryError::Unavailable("no leader is known".into()));
        }
        if self.is_retired(&report.incarnation()) {
            return Ok(());
        }
        let now = Instant::now();
        let outcome = self.table().record(now, report.clone());
        if outcome == ReportOutcome::Changed {
            log_event!(
                info,
                "endpoint_heard",
                endpoint = report.id,
                pool = report.pool,
                address = report.address,
                born_ms = report.born_ms,
                sequence = report.sequence
            );
            self.publish_revision();
        }
        match outcome {
            ReportOutcome::Relocated => return Err(relocated_error(&report.id)),
            ReportOutcome::Full => return Err(RegistryError::Full(self.max_endpoints)),
            ReportOutcome::Changed
            | ReportOutcome::Refreshed
            | ReportOutcome::Moved
            | ReportOutcome::Stale
            | ReportOutcome::Unknown => {}
        }
        let mut outbox = self.lock_outbox();
        outbox.record_own(now, &report.id);
        let is_urgent = outbox.record(report, outcome);
        drop(outbox);
        if is_urgent {
            self.urgent.notify_one();
        }
        Ok(())
    }

    /// Whether an endpoint should continue to announce itself here, so that always the same
    /// daemon confirms it. False on a daemon with more than its share of endpoints, which
    /// leaves the choice of the daemon to chance.
    pub fn should_keep_endpoints(&self) -> bool {
        let members = self.members.load(Ordering::Relaxed);
        let known = self.table().len();
        let own = self.lock_outbox().count_own();
        own * members * FAIR_SHARE_PARTS <= known * (FAIR_SHARE_PARTS + 1)
    }

    /// Retires an incarnation, so that its endpoint gets no new work, and waits until this is
    /// decided. After that, each entry receives it with its next confirmed view.
    pub async fn retire(&self, incarnation: EndpointIncarnation) -> Result<()> {
        if self.is_retired(&incarnation) {
            return Ok(());
        }
        let command = ControlBody::Retire(incarnation.clone());
        match self.decide(command).await? {
            ControlVerdict::Noted(_) => {
                log_event!(info, "endpoint_retired", endpoint = incarnation);
                self.table().remove(&incarnation);
                Ok(())
            }
            other => Err(unexpected_verdict(&other)),
        }
    }

    /// Retires an endpoint that announces that it is draining. Fails when the report names
    /// another address, pool or data centre than the listed one.
    pub async fn drain(&self, report: &EndpointReport) -> Result<()> {
        if self.table().is_relocated(report) {
            return Err(relocated_error(&report.id));
        }
        self.retire(report.incarnation()).await
    }

    /// Retires the incarnation that is listed under an endpoint's name. A daemon that has just
    /// started may not list the endpoint yet. It then fails instead of guessing the
    /// incarnation, and the caller can ask another daemon.
    pub async fn retire_listed(&self, endpoint: &str) -> Result<()> {
        let listed = self.table().incarnation_of(endpoint);
        let incarnation = match listed {
            Some(incarnation) => incarnation,
            None if Instant::now() < self.listing_complete_at => {
                let reason = format!("endpoint {endpoint} is not listed yet");
                return Err(RegistryError::Unavailable(reason));
            }
            None => EndpointIncarnation {
                endpoint: endpoint.to_string(),
                born_ms: 0,
            },
        };
        self.retire(incarnation).await
    }

    /// Proposes a validated document under its number and returns the decision.
    pub async fn publish(&self, number: u64, content: Bytes) -> Result<DocumentOutcome> {
        let command = DocumentCommand {
            number,
            content,
            author: "operator".into(),
        };
        match self.decide(ControlBody::Document(command)).await? {
            ControlVerdict::Document(outcome) => {
                log_event!(
                    info,
                    "document_decided",
                    number = number,
                    accepted = outcome.accepted,
                    conflict = outcome.conflict,
                    in_force = outcome.number
                );
                Ok(outcome)
            }
            other => Err(unexpected_verdict(&other)),
        }
    }

    /// The document in force, or `None` before the first one. Fails when no majority confirms
    /// that no newer document is committed.
    pub async fn read_document(&self) -> Result<Option<Bytes>> {
        if !self.confirm().await {
            let reason = "no majority confirms what is newest".to_string();
            return Err(RegistryError::Unavailable(reason));
        }
        let Some(voter) = self.voter() else {
            return Err(RegistryError::Unavailable("the voter restarts".into()));
        };
        let document = voter.cell().read_documents(|documents| {
            let has_document = documents.number() > 0;
            has_document.then(|| documents.content().clone())
        });
        Ok(document)
    }

    /// Stops the voter: hands leadership over and closes the data folder.
    pub async fn stop(&self) {
        self.supervisor.stop().await;
    }

    pub(super) fn voter(&self) -> Option<Arc<VoterService>> {
        self.supervisor.current.load_full()
    }

    pub(super) fn table(&self) -> MutexGuard<'_, RegistryTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn lock_outbox(&self) -> MutexGuard<'_, ReportOutbox> {
        self.outbox.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn lock_followers(&self) -> MutexGuard<'_, FollowerList> {
        self.followers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn lock_outdated_members(&self) -> MutexGuard<'_, BTreeSet<PeerName>> {
        self.outdated_members
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Publishes changes of the table to waiting followers, now or after the pause between
    /// publications.
    pub(super) fn publish_revision(&self) {
        if self.table().publish(Instant::now()).is_some() {
            self.deferred_publish.notify_one();
            return;
        }
        let published = self.table().published();
        self.revision.send_if_modified(|known| {
            let is_new = *known != published;
            *known = published;
            is_new
        });
    }

    /// Publishes changes that followed too soon after the last publication.
    async fn publish_deferred(self: Arc<Self>) {
        loop {
            self.deferred_publish.notified().await;
            let next_publish_at = self.table().publish(Instant::now());
            if let Some(next_publish_at) = next_publish_at {
                tokio::time::sleep_until(next_publish_at.into()).await;
            }
            self.publish_revision();
        }
    }

    pub(super) fn is_retired(&self, incarnation: &EndpointIncarnation) -> bool {
        let read = |voter: Arc<VoterService>| {
            let cell = voter.cell();
            cell.read_documents(|documents| documents.is_retired(incarnation))
        };
        self.voter().is_some_and(read)
    }

    /// Sends a command to the leader and waits for the decision; retries until the deadline,
    /// also with a new leader. A retry may have a command decided twice, so only commands
    /// for which that does no harm are sent here.
    pub(super) async fn decide(&self, body: ControlBody) -> Result<ControlVerdict> {
        let command = ControlCommand {
            stamp_ms: 0,
            body: Some(body),
        };
        let deadline = Instant::now() + DECIDE_TIMEOUT;
        let mut reason = "no leader is known".to_string();
        while Instant::now() < deadline {
            match self.ask_leader(Call::Propose(command.clone())).await {
                Ok(Response::Outcome(outcome)) => {
                    let empty_outcome = || RegistryError::Unavailable("an empty outcome".into());
                    return outcome.outcome.ok_or_else(empty_outcome);
                }
                Ok(other) => reason = format!("{other:?}"),
                Err(error) => reason = error.to_string(),
            }
            tokio::time::sleep(LEADER_RETRY_PAUSE).await;
        }
        Err(RegistryError::Unavailable(reason))
    }

    async fn ask_leader(&self, call: Call) -> Result<Response> {
        let unavailable = |reason: &str| RegistryError::Unavailable(reason.into());
        let voter = self
            .voter()
            .ok_or_else(|| unavailable("the voter restarts"))?;
        let leader = voter
            .leader()
            .ok_or_else(|| unavailable("no leader is known"))?;
        let call = ControlCall { call: Some(call) };
        let response = if leader == self.hub.name().as_str() {
            let answering = tokio::time::timeout(LEADER_CALL_TIMEOUT, voter.answer(call));
            let late = |_| unavailable("this leader finds no majority");
            answering.await.map_err(late)?
        } else {
            let payload = call.encode_to_vec().into();
            let channel = LinkChannel::Control;
            let answer = self
                .hub
                .call(&leader, channel, payload, LEADER_CALL_TIMEOUT);
            let unreadable = |_| unavailable("the leader's answer can't be read");
            ControlResponse::decode(answer.await?).map_err(unreadable)?
        };
        response
            .response
            .ok_or_else(|| unavailable("an empty answer"))
    }

    pub(super) async fn confirm(&self) -> bool {
        let confirmed =
            tokio::time::timeout(CONFIRM_TIMEOUT * 2, self.confirmation_batcher.confirm());
        confirmed.await.unwrap_or(false)
    }

    /// Asks the leader for its commit index, and waits until this daemon has applied the log
    /// up to it.
    async fn confirm_once(self: Arc<Self>) -> bool {
        let query = ControlQuery {
            query: Some(ControlQuestion::Status(StatusQuery {})),
        };
        let round = async {
            let response = match self.ask_leader(Call::Query(query)).await {
                Ok(response) => response,
                Err(error) => {
                    log_event!(debug, "round_not_held", reason = error);
                    return None;
                }
            };
            let Response::Reply(reply) = response else {
                return None;
            };
            let Some(ControlAnswer::Status(status)) = reply.reply else {
                return None;
            };
            let voter = self.voter()?;
            let mut applied = voter.replica().watch_status();
            while voter.cell().index() < status.index {
                applied.changed().await.ok()?;
            }
            Some(())
        };
        let confirmed = tokio::time::timeout(CONFIRM_TIMEOUT, round).await;
        matches!(confirmed, Ok(Some(())))
    }

    async fn serve_calls(self: Arc<Self>, mut calls: mpsc::Receiver<InboundCall>) {
        while let Some(call) = calls.recv().await {
            let node = Arc::clone(&self);
            tokio::spawn(async move { node.serve_call(call).await });
        }
    }

    async fn serve_call(&self, inbound: InboundCall) {
        let Ok(call) = ControlCall::decode(inbound.payload) else {
            inbound.reply.refuse(CallRefusal::Malformed);
            return;
        };
        let response = match (call.call, self.voter()) {
            (Some(Call::Follow(follow)), _) => {
                let reply = self.follow(&inbound.from, &follow).await;
                Some(Response::Follow(reply))
            }
            (Some(Call::Quarantine(report)), _) => Some(self.submit_report(report).await),
            (call, Some(voter)) => voter.answer(ControlCall { call }).await.response,
            (_, None) => Some(Response::Unavailable("the voter restarts".into())),
        };
        let response = ControlResponse { response };
        inbound.reply.answer(response.encode_to_vec().into());
    }
}

fn relocated_error(endpoint: &str) -> RegistryError {
    let remedy = "start under a name of your own";
    RegistryError::Relocated(format!(
        "endpoint {endpoint} is listed at another place; {remedy}"
    ))
}

fn unexpected_verdict(verdict: &ControlVerdict) -> RegistryError {
    RegistryError::Unavailable(format!("control answered something else: {verdict:?}"))
}
