use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwapOption;
use prost::Message;
use tokio::sync::{Notify, mpsc, watch};

use super::confirm_gate::{self, ConfirmGate};
use super::follower_list::FollowerList;
use super::report_outbox::ReportOutbox;
use super::voter_keeper::VoterKeeper;
use super::{
    EndpointReport, FollowCall, FollowReply, HearOutcome, RegistryError, RegistryTable,
    ReportBatch, Result,
};
use crate::control::{
    ControlAnswer, ControlBody, ControlCommand, ControlQuery, ControlQuestion, ControlVerdict,
    DocumentCommand, DocumentNews, DocumentOutcome, RetireCommand, StatusQuery, VoterRoster,
    VoterService,
};
use crate::generated::control_link::control_call::Call;
use crate::generated::control_link::control_response::Response;
use crate::generated::control_link::{ControlCall, ControlResponse};
use crate::prelude::*;
use crate::transport::{CallRefusal, InboundCall, InboundMessage, LinkChannel, LinkHub, PeerName};

/// Longest wait for a decision of the log. Callers wait a second for an answer.
const DECIDE_TIME: Duration = Duration::from_millis(900);

/// Longest call of a leader; a dead one must not use up [`DECIDE_TIME`].
const LEADER_CALL_TIME: Duration = Duration::from_millis(400);

/// Pause before a leader is looked for again.
const LEADER_PAUSE: Duration = Duration::from_millis(40);

/// Longest round that confirms what is committed.
const CONFIRM_TIME: Duration = Duration::from_millis(600);

/// Longest wait for news that a follower may ask for.
const MAX_HOLD: Duration = Duration::from_secs(2);

/// Pause between signs of life told to the other control daemons: a quarter
/// of the time between two announcements of an endpoint.
const FLUSH_INTERVAL: Duration = Duration::from_millis(300);

/// Time for another control daemon's whole table.
const TABLE_CALL_TIME: Duration = Duration::from_millis(800);

/// How a registry node is started.
#[derive(Clone, Debug)]
pub struct RegistryOptions {
    /// Folder for what must outlast the process.
    pub folder: PathBuf,
    /// Which daemons hold replicas.
    pub roster: VoterRoster,
    /// Pause between two announcements of an endpoint.
    pub announce_interval: Duration,
}

/// A control daemon: a voter, and what it knows of endpoints.
#[derive(Debug)]
pub struct RegistryNode {
    hub: LinkHub,
    keeper: Arc<VoterKeeper>,
    table: Mutex<RegistryTable>,
    revision: watch::Sender<u64>,
    outbox: Mutex<ReportOutbox>,
    urgent: Notify,
    gate: ConfirmGate,
    followers: Mutex<FollowerList>,
    wants_table: Notify,
}

impl RegistryNode {
    /// Starts the voter and the exchange with the other control daemons.
    pub fn start(hub: LinkHub, options: RegistryOptions) -> Arc<Self> {
        let keeper = Arc::new(VoterKeeper {
            hub: hub.clone(),
            folder: options.folder,
            roster: options.roster,
            current: ArcSwapOption::empty(),
            news: watch::Sender::default(),
        });
        let (gate, callers) = ConfirmGate::new();
        let table = RegistryTable::new(rand::random(), options.announce_interval);
        let node = Arc::new(Self {
            keeper: Arc::clone(&keeper),
            table: Mutex::new(table),
            revision: watch::Sender::default(),
            outbox: Mutex::default(),
            urgent: Notify::new(),
            gate,
            followers: Mutex::default(),
            wants_table: Notify::new(),
            hub: hub.clone(),
        });
        tokio::spawn(keeper.run());
        let rounds = Arc::clone(&node);
        tokio::spawn(confirm_gate::hold_rounds(callers, move || {
            Arc::clone(&rounds).confirm_once()
        }));
        tokio::spawn(Arc::clone(&node).flush_often());
        tokio::spawn(Arc::clone(&node).fetch_tables());
        tokio::spawn(Arc::clone(&node).take_batches(hub.subscribe(LinkChannel::Directory)));
        tokio::spawn(Arc::clone(&node).serve_calls(hub.serve(LinkChannel::Control)));
        node
    }

    /// Whether this daemon follows or is a leader now.
    pub fn has_leader(&self) -> bool {
        self.voter().is_some_and(|voter| voter.leader().is_some())
    }

    /// Takes an endpoint's announcement. While this daemon has lost the
    /// others it takes none, so that the endpoint tries another daemon.
    pub fn announce(&self, report: EndpointReport) -> Result<()> {
        if !self.has_leader() {
            return Err(RegistryError::Unavailable("no leader is known".into()));
        }
        if self.is_retired(&report.id) {
            return Ok(());
        }
        let outcome = self.table().hear(Instant::now(), report.clone());
        if outcome == HearOutcome::Changed {
            log_event!(
                info,
                "endpoint_heard",
                endpoint = report.id,
                pool = report.pool,
                address = report.address,
                sequence = report.sequence
            );
            self.publish_revision();
        }
        let is_urgent = self.lock_outbox().note(report, outcome);
        if is_urgent {
            self.urgent.notify_one();
        }
        Ok(())
    }

    /// Has it decided that an endpoint takes no new work any more. Once this
    /// returns, every entry that confirms its knowledge learns of it.
    pub async fn retire(&self, endpoint: &str) -> Result<()> {
        if self.is_retired(endpoint) {
            return Ok(());
        }
        let command = RetireCommand {
            endpoint: endpoint.to_string(),
        };
        match self.decide(ControlBody::Retire(command)).await? {
            ControlVerdict::Noted(_) => {
                log_event!(info, "endpoint_retired", endpoint = endpoint);
                self.table().remove(endpoint);
                Ok(())
            }
            other => Err(unexpected(&other)),
        }
    }

    /// Has a checked document decided under its number.
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
            other => Err(unexpected(&other)),
        }
    }

    /// The document in force, with a majority's word that none is newer.
    pub async fn read_document(&self) -> Result<Option<Bytes>> {
        if !self.confirm().await {
            let reason = "no majority confirms what is newest".to_string();
            return Err(RegistryError::Unavailable(reason));
        }
        let Some(voter) = self.voter() else {
            return Err(RegistryError::Unavailable("the voter restarts".into()));
        };
        let document = voter.cell().read_documents(|documents| {
            let is_there = documents.number() > 0;
            is_there.then(|| documents.content().clone())
        });
        Ok(document)
    }

    /// Hands leadership over and closes the data folder.
    pub async fn stop(&self) {
        if let Some(voter) = self.voter() {
            voter.replica().stop().await;
        }
    }

    fn voter(&self) -> Option<Arc<VoterService>> {
        self.keeper.current.load_full()
    }

    fn table(&self) -> MutexGuard<'_, RegistryTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_outbox(&self) -> MutexGuard<'_, ReportOutbox> {
        self.outbox.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_followers(&self) -> MutexGuard<'_, FollowerList> {
        self.followers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn publish_revision(&self) {
        let revision = self.table().revision();
        self.revision.send_replace(revision);
    }

    fn is_retired(&self, endpoint: &str) -> bool {
        let read = |voter: Arc<VoterService>| {
            let cell = voter.cell();
            cell.read_documents(|documents| documents.is_retired(endpoint))
        };
        self.voter().is_some_and(read)
    }

    /// Has a command decided by the leader, whoever leads meanwhile. Each
    /// command sent here may be decided twice without harm.
    async fn decide(&self, body: ControlBody) -> Result<ControlVerdict> {
        let command = ControlCommand {
            stamp_ms: 0,
            body: Some(body),
        };
        let deadline = Instant::now() + DECIDE_TIME;
        let mut reason = "no leader is known".to_string();
        while Instant::now() < deadline {
            match self.ask_leader(Call::Propose(command.clone())).await {
                Ok(Response::Outcome(outcome)) => {
                    let nothing = || RegistryError::Unavailable("an empty outcome".into());
                    return outcome.outcome.ok_or_else(nothing);
                }
                Ok(other) => reason = format!("{other:?}"),
                Err(error) => reason = error.to_string(),
            }
            tokio::time::sleep(LEADER_PAUSE).await;
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
            let answering = tokio::time::timeout(LEADER_CALL_TIME, voter.answer(call));
            let late = |_| unavailable("this leader finds no majority");
            answering.await.map_err(late)?
        } else {
            let payload = call.encode_to_vec().into();
            let channel = LinkChannel::Control;
            let answer = self.hub.call(&leader, channel, payload, LEADER_CALL_TIME);
            let unreadable = |_| unavailable("the leader's answer can't be read");
            ControlResponse::decode(answer.await?).map_err(unreadable)?
        };
        response
            .response
            .ok_or_else(|| unavailable("an empty answer"))
    }

    async fn confirm(&self) -> bool {
        let confirmed = tokio::time::timeout(CONFIRM_TIME * 2, self.gate.confirm());
        confirmed.await.unwrap_or(false)
    }

    /// Asks the leader how far the log is committed, then waits until as much
    /// is applied here.
    async fn confirm_once(self: Arc<Self>) -> bool {
        let query = ControlQuery {
            query: Some(ControlQuestion::Status(StatusQuery {})),
        };
        let round = async {
            let response = self.ask_leader(Call::Query(query)).await.ok()?;
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
        let confirmed = tokio::time::timeout(CONFIRM_TIME, round).await;
        matches!(confirmed, Ok(Some(())))
    }

    async fn flush_often(self: Arc<Self>) {
        loop {
            tokio::select! {
                () = tokio::time::sleep(FLUSH_INTERVAL) => {}
                () = self.urgent.notified() => {}
            }
            let now = Instant::now();
            if self.table().tick(now) {
                self.publish_revision();
            }
            let followers = self.lock_followers().own(now);
            let batch = self.lock_outbox().take(now, followers);
            if let Some(batch) = batch {
                self.tell_members(&batch);
            }
        }
    }

    fn other_members(&self) -> Vec<PeerName> {
        let members = self.voter().map(|voter| voter.member_names());
        let mut members = members.unwrap_or_default();
        members.retain(|member| member != self.hub.name());
        members
    }

    fn tell_members(&self, batch: &ReportBatch) {
        let payload = Bytes::from(batch.encode_to_vec());
        for member in self.other_members() {
            let channel = LinkChannel::Directory;
            let sent = self.hub.send(member.as_str(), channel, payload.clone());
            if let Err(error) = sent {
                log_event!(debug, "report_batch_dropped", to = member, reason = error);
            }
        }
    }

    async fn take_batches(self: Arc<Self>, mut batches: mpsc::Receiver<InboundMessage>) {
        while let Some(message) = batches.recv().await {
            match ReportBatch::decode(message.payload) {
                Ok(batch) => self.take_batch(batch),
                Err(error) => log_event!(
                    warn,
                    "report_batch_unreadable",
                    from = message.from,
                    reason = error
                ),
            }
        }
    }

    fn take_batch(&self, batch: ReportBatch) {
        let now = Instant::now();
        self.lock_followers().take_others(now, batch.followers);
        let mut is_incomplete = false;
        {
            let mut table = self.table();
            for refresh in &batch.refreshes {
                is_incomplete |= table.refresh(now, refresh) == HearOutcome::Unknown;
            }
        }
        for report in batch.reports {
            if !self.is_retired(&report.id) {
                self.table().hear(now, report);
            }
        }
        self.publish_revision();
        if is_incomplete {
            self.wants_table.notify_one();
        }
    }

    /// Fetches another daemon's whole table when this one lacks endpoints, as
    /// after a start.
    async fn fetch_tables(self: Arc<Self>) {
        let mut turn = 0_usize;
        loop {
            let members = self.other_members();
            if self.table().is_empty() && !members.is_empty() {
                self.wants_table.notify_one();
            }
            tokio::select! {
                () = self.wants_table.notified() => {}
                () = tokio::time::sleep(FLUSH_INTERVAL) => continue,
            }
            let Some(member) = members.get(turn % members.len().max(1)) else {
                continue;
            };
            turn += 1;
            if let Err(error) = self.fetch_table(member).await {
                log_event!(debug, "table_not_fetched", from = member, reason = error);
            }
            tokio::time::sleep(FLUSH_INTERVAL).await;
        }
    }

    async fn fetch_table(&self, member: &PeerName) -> Result<()> {
        let call = ControlCall {
            call: Some(Call::Follow(FollowCall::default())),
        };
        let payload = call.encode_to_vec().into();
        let channel = LinkChannel::Control;
        let answer = self
            .hub
            .call(member.as_str(), channel, payload, TABLE_CALL_TIME);
        let answer = ControlResponse::decode(answer.await?);
        let Ok(Some(Response::Follow(reply))) = answer.map(|answer| answer.response) else {
            let reason = "the member's answer can't be read".to_string();
            return Err(RegistryError::Unavailable(reason));
        };
        let now = Instant::now();
        for report in reply.reports {
            if !report.silent && !self.is_retired(&report.id) {
                self.table().hear(now, report);
            }
        }
        self.publish_revision();
        Ok(())
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
            (call, Some(voter)) => voter.answer(ControlCall { call }).await.response,
            (_, None) => Some(Response::Unavailable("the voter restarts".into())),
        };
        let response = ControlResponse { response };
        inbound.reply.answer(response.encode_to_vec().into());
    }

    /// Waits for news, has a majority confirm that nothing newer is
    /// committed, and tells what the follower lacks.
    async fn follow(&self, from: &PeerName, call: &FollowCall) -> FollowReply {
        let arrived = Instant::now();
        if call.entry {
            self.lock_followers().take_own(arrived, from, call.leaving);
        }
        self.wait_for_news(call).await;
        let held = arrived.elapsed();
        let confirmed = call.entry && self.confirm().await;
        let mut reply = self.news_after(call);
        reply.confirmed = confirmed;
        reply.held_ms = held.as_millis() as u32;
        reply
    }

    async fn wait_for_news(&self, call: &FollowCall) {
        let hold = Duration::from_millis(call.wait_ms.into()).min(MAX_HOLD);
        if hold.is_zero() {
            return;
        }
        let mut documents = self.keeper.news.subscribe();
        let mut revision = self.revision.subscribe();
        let waiting = async {
            loop {
                let news = *documents.borrow_and_update();
                let revision_now = *revision.borrow_and_update();
                if self.is_behind(call, news, revision_now) {
                    return;
                }
                let changed = tokio::select! {
                    changed = documents.changed() => changed,
                    changed = revision.changed() => changed,
                };
                if changed.is_err() {
                    return;
                }
            }
        };
        // Ending without news is the usual case, and no fault.
        let _ = tokio::time::timeout(hold, waiting).await;
    }

    fn is_behind(&self, call: &FollowCall, news: DocumentNews, revision: u64) -> bool {
        let epoch = self.table().epoch();
        news.number > call.document_number
            || news.retired_total > call.retired_total
            || epoch != call.table_epoch
            || revision > call.table_revision
    }

    fn news_after(&self, call: &FollowCall) -> FollowReply {
        let mut reply = FollowReply::default();
        if let Some(voter) = self.voter() {
            voter.cell().read_documents(|documents| {
                reply.document_number = documents.number();
                if documents.number() > call.document_number {
                    reply.document = documents.content().clone();
                }
                reply.retired_total = documents.retired_total();
                let retired = documents.retired_after(call.retired_total);
                reply.retired = retired.map(String::from).collect();
            });
        }
        {
            let table = self.table();
            reply.table_epoch = table.epoch();
            reply.table_revision = table.revision();
            reply.whole = table.epoch() != call.table_epoch;
            let known = if reply.whole { 0 } else { call.table_revision };
            reply.reports = table.changed_after(known);
        }
        let members = self.voter().map(|voter| voter.member_names());
        let members = members.unwrap_or_default().into_iter();
        reply.members = members.map(|member| member.to_string()).collect();
        let entries = self.lock_followers().all(Instant::now());
        reply.entries_digest = entries.digest;
        if entries.digest != call.entries_digest {
            reply.entries = entries.names;
        }
        reply
    }
}

fn unexpected(verdict: &ControlVerdict) -> RegistryError {
    RegistryError::Unavailable(format!("control answered something else: {verdict:?}"))
}
