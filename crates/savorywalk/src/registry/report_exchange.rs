use std::sync::atomic::Ordering;

use prost::Message;
use tokio::sync::mpsc;

use super::{
    DigestOutcome, EndpointReport, FollowCall, RegistryError, RegistryNode, ReportBatch, Result,
};
use crate::generated::control_link::control_call::Call;
use crate::generated::control_link::control_response::Response;
use crate::generated::control_link::{ControlCall, ControlResponse};
use crate::prelude::*;
use crate::transport::{InboundMessage, LinkChannel, PeerName};

/// Longest pause between two checks for pending changes and due digests.
const FLUSH_INTERVAL: Duration = Duration::from_millis(300);

/// Pause between batches with urgent changes, multiplied by the number of daemons: with
/// dozens of them, a message to each for each change exceeds the capacity of a daemon.
const MESSAGE_PAUSE: Duration = Duration::from_millis(5);

/// Timeout for fetching the endpoints of another control daemon.
const LIST_CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Exchange of endpoints and entries between control daemons.
impl RegistryNode {
    pub(super) async fn run_flushes(self: Arc<Self>) {
        let mut flushed = Instant::now();
        loop {
            tokio::select! {
                () = tokio::time::sleep(FLUSH_INTERVAL) => {}
                () = self.urgent.notified() => {
                    let pause = MESSAGE_PAUSE * self.members.load(Ordering::Relaxed) as u32;
                    tokio::time::sleep_until((flushed + pause).into()).await;
                }
            }
            self.members
                .store(self.other_members().len() + 1, Ordering::Relaxed);
            let now = Instant::now();
            flushed = now;
            let ticked = self.table().tick(now);
            if ticked.changed {
                self.publish_revision();
            }
            self.remove_retired();
            let own = self.table().own_digest();
            let batch = {
                let mut followers = self.lock_followers();
                followers.expire(now);
                self.table().set_publish_pause(followers.count_own());
                let mut outbox = self.lock_outbox();
                outbox.record_silent(ticked.newly_silent);
                outbox.take_batch(now, own, &mut followers)
            };
            if let Some(batch) = batch {
                self.send_to_members(&batch);
            }
        }
    }

    fn other_members(&self) -> Vec<PeerName> {
        let members = self.voter().map(|voter| voter.member_names());
        let mut members = members.unwrap_or_default();
        members.retain(|member| member != self.hub.name());
        members
    }

    fn send_to_members(&self, batch: &ReportBatch) {
        let payload = Bytes::from(batch.encode_to_vec());
        for member in self.other_members() {
            let channel = LinkChannel::Directory;
            let sent = self.hub.send(member.as_str(), channel, payload.clone());
            if let Err(error) = sent {
                log_event!(debug, "report_batch_dropped", to = member, reason = error);
            }
        }
    }

    pub(super) async fn apply_batches(
        self: Arc<Self>,
        mut batches: mpsc::Receiver<InboundMessage>,
    ) {
        while let Some(message) = batches.recv().await {
            match ReportBatch::decode(message.payload) {
                Ok(batch) => self.apply_batch(&message.from, batch),
                Err(error) => log_event!(
                    warn,
                    "report_batch_unreadable",
                    from = message.from,
                    reason = error
                ),
            }
        }
    }

    fn apply_batch(&self, from: &PeerName, batch: ReportBatch) {
        let now = Instant::now();
        let are_followers_listed = self.apply_follower_changes(now, from, &batch);
        let reports = self.drop_retired(batch.reports);
        let outcome = {
            let mut table = self.table();
            for refresh in &batch.refreshes {
                table.refresh(now, refresh);
            }
            for report in reports {
                table.record_from(now, from.as_str(), report);
            }
            batch
                .own
                .map(|own| table.apply_digest(now, from.as_str(), own))
        };
        self.publish_revision();
        if outcome == Some(DigestOutcome::Unlisted) || !are_followers_listed {
            self.lock_outdated_members().insert(from.clone());
            self.lists_needed.notify_one();
        }
    }

    /// Applies changes of the entries that follow another daemon; returns false if its whole
    /// list must be requested.
    fn apply_follower_changes(&self, now: Instant, from: &PeerName, batch: &ReportBatch) -> bool {
        let mut followers = self.lock_followers();
        let from = from.as_str();
        let (joined, left) = (&batch.followers, &batch.followers_left);
        followers.apply_changes(now, from, joined, &batch.follower_capacities, left);
        let outcome = batch
            .followers_digest
            .map(|digest| followers.compare(from, &digest, batch.capacities_digest));
        outcome != Some(DigestOutcome::Unlisted)
    }

    /// Removes endpoints that the log has retired, whichever daemon proposed it.
    fn remove_retired(&self) {
        let Some(voter) = self.voter() else { return };
        let mut table = self.table();
        voter.cell().read_documents(|documents| {
            let known = self
                .retired_total
                .swap(documents.retired_total(), Ordering::Relaxed);
            for incarnation in documents.retired_after(known) {
                table.remove(incarnation);
            }
        });
    }

    /// Drops reports of retired endpoints.
    fn drop_retired(&self, reports: Vec<EndpointReport>) -> Vec<EndpointReport> {
        let reports = reports.into_iter();
        let live = reports.filter(|report| !self.is_retired(&report.incarnation()));
        live.collect()
    }

    /// Fetches the lists of daemons whose digests differ from what is listed here, for
    /// example after a start.
    pub(super) async fn fetch_lists(self: Arc<Self>) {
        loop {
            self.lists_needed.notified().await;
            let members = std::mem::take(&mut *self.lock_outdated_members());
            let fetches = members.iter().map(|member| self.fetch_list(member));
            futures::future::join_all(fetches).await;
            tokio::time::sleep(FLUSH_INTERVAL).await;
        }
    }

    async fn fetch_list(&self, member: &PeerName) {
        if let Err(error) = self.try_fetch_list(member).await {
            log_event!(debug, "list_not_fetched", from = member, reason = error);
        }
    }

    async fn try_fetch_list(&self, member: &PeerName) -> Result<()> {
        let call = ControlCall {
            call: Some(Call::Follow(FollowCall::default())),
        };
        let payload = call.encode_to_vec().into();
        let channel = LinkChannel::Control;
        let answer = self
            .hub
            .call(member.as_str(), channel, payload, LIST_CALL_TIMEOUT);
        let answer = ControlResponse::decode(answer.await?);
        let Ok(Some(Response::Follow(reply))) = answer.map(|answer| answer.response) else {
            let reason = "the member's answer can't be read".to_string();
            return Err(RegistryError::Unavailable(reason));
        };
        let now = Instant::now();
        let mut followers = self.lock_followers();
        let (names, capacities) = (&reply.entries, &reply.entry_capacities);
        followers.apply_list(now, member.as_str(), names, capacities);
        drop(followers);
        let reports = self.drop_retired(reply.reports);
        let mut table = self.table();
        table.apply_list(now, member.as_str(), reports);
        drop(table);
        self.publish_revision();
        Ok(())
    }
}
