use prost::Message;
use tokio::sync::mpsc;

use super::{FollowCall, HearOutcome, RegistryError, RegistryNode, ReportBatch, Result};
use crate::generated::control_link::control_call::Call;
use crate::generated::control_link::control_response::Response;
use crate::generated::control_link::{ControlCall, ControlResponse};
use crate::prelude::*;
use crate::transport::{InboundMessage, LinkChannel, PeerName};

/// Pause between signs of life told to the other control daemons: a quarter
/// of the time between two announcements of an endpoint.
const FLUSH_INTERVAL: Duration = Duration::from_millis(300);

/// Time for another control daemon's whole table.
const TABLE_CALL_TIME: Duration = Duration::from_millis(800);

/// What registry daemons tell each other of endpoints and entries.
impl RegistryNode {
    pub(super) async fn flush_often(self: Arc<Self>) {
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

    pub(super) async fn take_batches(self: Arc<Self>, mut batches: mpsc::Receiver<InboundMessage>) {
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
            if !self.is_retired(&report.incarnation()) {
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
    pub(super) async fn fetch_tables(self: Arc<Self>) {
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
            if !report.silent && !self.is_retired(&report.incarnation()) {
                self.table().hear(now, report);
            }
        }
        self.publish_revision();
        Ok(())
    }
}
