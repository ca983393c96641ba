use crate::configuration::DocumentRegister;
use crate::control::DocumentRevisions;
use crate::evacuation::EvacuationRegister;
use crate::prelude::*;
use crate::quarantine::QuarantineRegister;
use crate::registry::entry_list::FollowerList;
use crate::registry::report_outbox::ReportOutbox;
use crate::registry::{
    DigestOutcome, EndpointReport, FollowCall, FollowReply, RegistryTable, ReportBatch,
};
use crate::transport::PeerName;

/// A call that a registry holds until there is an update.
#[derive(Clone, Debug)]
pub(super) struct HeldCall {
    pub(super) entry: usize,
    pub(super) number: u64,
    pub(super) call: FollowCall,
    pub(super) arrived: Duration,
    pub(super) until: Duration,
}

/// One control daemon: what it has applied of the log, and its state in memory.
#[derive(Debug)]
pub(super) struct SimulatedRegistry {
    pub(super) name: PeerName,
    pub(super) is_up: bool,
    pub(super) documents: DocumentRegister,
    pub(super) quarantine: QuarantineRegister,
    pub(super) evacuations: EvacuationRegister,
    pub(super) table: RegistryTable,
    pub(super) outbox: ReportOutbox,
    pub(super) followers: FollowerList,
    pub(super) held: Vec<HeldCall>,
    /// Number of retired endpoints that were removed from the table.
    retired_total: u64,
    /// Bytes sent to other registries.
    pub(super) sent_bytes: usize,
}

impl SimulatedRegistry {
    pub(super) fn new(name: PeerName, epoch: u64, interval: Duration) -> Self {
        Self {
            name,
            is_up: true,
            documents: DocumentRegister::default(),
            quarantine: QuarantineRegister::default(),
            evacuations: EvacuationRegister::default(),
            table: RegistryTable::new(epoch, interval),
            outbox: ReportOutbox::new(interval),
            followers: FollowerList::new(epoch),
            held: Vec::new(),
            retired_total: 0,
            sent_bytes: 0,
        }
    }

    /// Records an announcement; returns whether the other registries must receive it soon.
    pub(super) fn record(&mut self, now: Instant, report: EndpointReport) -> bool {
        if self.documents.is_retired(&report.incarnation()) {
            return false;
        }
        let outcome = self.table.record(now, report.clone());
        self.outbox.record(report, outcome)
    }

    /// Applies a batch of another registry; returns whether its whole lists must be
    /// requested.
    pub(super) fn apply_batch(&mut self, now: Instant, from: &str, batch: &ReportBatch) -> bool {
        let joined = &batch.followers;
        self.followers.apply_changes(
            now,
            from,
            joined,
            &batch.follower_capacities,
            &batch.followers_left,
        );
        let digest = batch.followers_digest.unwrap_or_default();
        let followed = self
            .followers
            .compare(from, &digest, batch.capacities_digest);
        for report in &batch.reports {
            if !self.documents.is_retired(&report.incarnation()) {
                self.table.record_from(now, from, report.clone());
            }
        }
        let own = batch.own.unwrap_or_default();
        let outcome = self.table.apply_digest(now, from, own);
        [outcome, followed].contains(&DigestOutcome::Unlisted)
    }

    pub(super) fn apply_list(
        &mut self,
        now: Instant,
        from: &str,
        reports: &[EndpointReport],
        followers: &[String],
        capacities: &[u32],
    ) {
        self.followers.apply_list(now, from, followers, capacities);
        let documents = &self.documents;
        let reports = reports
            .iter()
            .filter(|report| !documents.is_retired(&report.incarnation()));
        self.table.apply_list(now, from, reports.cloned().collect());
    }

    /// Takes the batch for the other registries that is due now.
    pub(super) fn flush(&mut self, now: Instant) -> Option<ReportBatch> {
        let ticked = self.table.tick(now);
        self.outbox.record_silent(ticked.newly_silent);
        for incarnation in self.documents.retired_after(self.retired_total) {
            self.table.remove(incarnation);
        }
        self.retired_total = self.documents.retired_total();
        self.followers.expire(now);
        self.table.set_publish_pause(self.followers.count_own());
        let own = self.table.own_digest();
        self.outbox.take_batch(now, own, &mut self.followers)
    }

    pub(super) fn is_behind(&self, call: &FollowCall) -> bool {
        let revisions = DocumentRevisions {
            number: self.documents.number(),
            retired_total: self.documents.retired_total(),
            quarantine_revision: self.quarantine.revision(),
            part_revision: self.quarantine.parts().revision(),
            evacuation_revision: self.evacuations.revision(),
        };
        call.is_behind(revisions, &self.table)
    }

    pub(super) fn reply(
        &mut self,
        call: &FollowCall,
        confirmed: bool,
        members: &[PeerName],
    ) -> FollowReply {
        let mut reply = FollowReply::default();
        reply.add_documents(call, &self.documents);
        reply.add_quarantine(call, &self.quarantine);
        reply.add_evacuations(call, &self.evacuations);
        reply.add_endpoints_if_allowed(call, confirmed, &self.table);
        reply.members = members.iter().map(ToString::to_string).collect();
        reply.add_entries(call, &self.followers);
        reply
    }
}
