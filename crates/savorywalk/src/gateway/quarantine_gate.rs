use super::crash_detector::{DecisionWait, FailedCall};
use super::gateway_node::GatewayNode;
use super::gateway_view::GatewayView;
use crate::prelude::*;
use crate::quarantine::{CrashSuspect, QuarantineList, RequestIdentity};

/// Quarantine of requests and prompt parts under which endpoints crash: this entry sends them to
/// no endpoint. See docs/design/quarantine.md and docs/design/quarantined-parts.md.
impl GatewayNode {
    /// Registers the gauges of quarantined requests and parts.
    pub(super) fn register_quarantine(self: &Arc<Self>) {
        self.register_gauge(
            "savorywalk_gateway_quarantined_requests",
            "Requests that no endpoint gets, since endpoints crash under them",
            QuarantineList::request_count,
        );
        self.register_gauge(
            "savorywalk_gateway_quarantined_parts",
            "Prompt parts that no endpoint gets, since endpoints crash under them",
            QuarantineList::part_count,
        );
    }

    fn register_gauge(
        self: &Arc<Self>,
        name: &'static str,
        description: &'static str,
        count: fn(&QuarantineList) -> usize,
    ) {
        let node = Arc::downgrade(self);
        let meter = self.metric_set.meter();
        meter
            .u64_observable_gauge(name)
            .with_description(description)
            .with_callback(move |gauge| {
                let count = node.upgrade().map(|node| count(&node.quarantine.borrow()));
                gauge.observe(count.unwrap_or(0) as u64, &[]);
            })
            .build();
    }

    /// The newest quarantine lists that this entry has received.
    pub(super) fn quarantine_list(&self) -> Arc<QuarantineList> {
        self.apply_updates();
        Arc::clone(&self.quarantine.borrow())
    }

    /// Waits until a request is quarantined, itself or by a part of its prompt.
    pub(super) async fn until_quarantined(&self, identity: &RequestIdentity) {
        self.apply_updates();
        let mut quarantine = self.quarantine.subscribe();
        let waiting = quarantine.wait_for(|list| list.find(identity).is_some());
        if waiting.await.is_err() {
            // The sender is dropped, so no update can arrive.
            std::future::pending::<()>().await;
        }
    }

    /// Records that an endpoint of `pool` may have crashed while it worked on a request.
    pub(super) fn suspect_crash(
        &self,
        view: &GatewayView,
        pool: &str,
        call: FailedCall,
    ) -> DecisionWait {
        let address = view.roster.address_of(pool, &call.endpoint);
        self.crash_detector
            .record_failed_call(FailedCall { address, ..call })
    }

    /// Applies new quarantine lists, and disputes the requests on them that were answered here
    /// recently.
    pub(super) fn apply_quarantine(&self, list: Arc<QuarantineList>) {
        let before = Arc::clone(&self.quarantine.borrow());
        if before == list {
            return;
        }
        let (suspects, suspects_before) = (list.suspects(), before.suspects());
        let added: Vec<&CrashSuspect> = suspects.difference(&suspects_before).collect();
        let removed: Vec<&CrashSuspect> = suspects_before.difference(&suspects).collect();
        log_event!(
            info,
            "quarantine_in_force",
            requests = list.request_count(),
            parts = list.part_count(),
            part_revision = list.part_revision(),
            watched = list.watched_count(),
            added = join_suspects(&added),
            removed = join_suspects(&removed)
        );
        for suspect in added {
            if let CrashSuspect::Request(digest) = suspect {
                self.crash_detector.dispute(digest);
            }
        }
        self.quarantine.send_replace(list);
    }
}

fn join_suspects(suspects: &[&CrashSuspect]) -> String {
    let texts: Vec<String> = suspects.iter().map(ToString::to_string).collect();
    texts.join(",")
}
