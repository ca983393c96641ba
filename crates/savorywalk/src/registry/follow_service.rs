use super::{EntryCapacity, FollowCall, FollowReply, RegistryNode};
use crate::prelude::*;
use crate::transport::PeerName;

/// Longest hold that a follower may ask for.
const MAX_HOLD: Duration = Duration::from_secs(2);

/// Answers the calls of entries and of other control daemons that follow this one.
impl RegistryNode {
    /// Waits for an update, has a majority confirm that nothing newer is committed, and
    /// answers with what the follower lacks.
    /// Another control daemon gets the endpoints and entries of this one at once.
    pub(super) async fn follow(&self, from: &PeerName, call: &FollowCall) -> FollowReply {
        let arrived = Instant::now();
        if !call.entry {
            let followers = self.lock_followers();
            let (entries, entry_capacities) = (followers.own_names(), followers.own_capacities());
            drop(followers);
            return FollowReply {
                reports: self.table().own_reports(),
                entries,
                entry_capacities,
                ..Default::default()
            };
        }
        if call.only_members {
            return FollowReply {
                members: self.member_names(),
                ..Default::default()
            };
        }
        let capacity = EntryCapacity(call.capacity_millicores);
        self.lock_followers()
            .record_own_call(arrived, from, capacity, call.leaving);
        self.wait_for_update(call).await;
        let held = arrived.elapsed();
        let confirmed = self.confirm().await;
        let mut reply = self.build_reply(call, confirmed);
        reply.confirmed = confirmed;
        reply.held_ms = held.as_millis() as u32;
        reply
    }

    async fn wait_for_update(&self, call: &FollowCall) {
        let hold = Duration::from_millis(call.wait_ms.into()).min(MAX_HOLD);
        if hold.is_zero() {
            return;
        }
        let mut documents = self.supervisor.revisions.subscribe();
        let mut revision = self.revision.subscribe();
        let waiting = async {
            loop {
                let revisions = *documents.borrow_and_update();
                revision.mark_unchanged();
                if call.is_behind(revisions, &self.table()) {
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
        // A hold that ends without an update is the usual case, not an error.
        let _ = tokio::time::timeout(hold, waiting).await;
    }

    fn build_reply(&self, call: &FollowCall, confirmed: bool) -> FollowReply {
        let mut reply = FollowReply::default();
        if let Some(voter) = self.voter() {
            let cell = voter.cell();
            cell.read_documents(|documents| reply.add_documents(call, documents));
            cell.read_quarantine(|register| reply.add_quarantine(call, register));
            cell.read_evacuations(|register| reply.add_evacuations(call, register));
        }
        reply.add_endpoints_if_allowed(call, confirmed, &self.table());
        reply.members = self.member_names();
        reply.add_entries(call, &self.lock_followers());
        reply
    }

    fn member_names(&self) -> Vec<String> {
        let members = self.voter().map(|voter| voter.member_names());
        let members = members.unwrap_or_default().into_iter();
        members.map(|member| member.to_string()).collect()
    }
}
