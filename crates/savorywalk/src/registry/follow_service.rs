use super::{FollowCall, FollowReply, RegistryNode};
use crate::control::DocumentNews;
use crate::prelude::*;
use crate::transport::PeerName;

/// Longest wait for news that a follower may ask for.
const MAX_HOLD: Duration = Duration::from_secs(2);

/// What a registry daemon answers to those who follow it.
impl RegistryNode {
    /// Waits for news, has a majority confirm that nothing newer is
    /// committed, and tells what the follower lacks.
    pub(super) async fn follow(&self, from: &PeerName, call: &FollowCall) -> FollowReply {
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
                reply.retired = retired.cloned().collect();
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
