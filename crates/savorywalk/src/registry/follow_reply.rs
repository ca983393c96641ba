use super::follower_list::NamedEntries;
use super::{FollowCall, FollowReply, RegistryTable};
use crate::configuration::DocumentRegister;
use crate::control::DocumentNews;
use crate::evacuation::EvacuationRegister;
use crate::quarantine::QuarantineRegister;

impl FollowCall {
    /// Whether there is news for the follower, so that its call is not held.
    pub(super) fn is_behind(&self, news: DocumentNews, table: &RegistryTable) -> bool {
        news.number > self.document_number
            || news.retired_total > self.retired_total
            || news.quarantine_revision > self.quarantine_revision
            || news.evacuation_revision > self.evacuation_revision
            || table.epoch() != self.table_epoch
            || table.published() > self.table_revision
    }
}

impl FollowReply {
    /// Tells the document in force and the retired endpoints that the follower lacks.
    pub(super) fn tell_documents(&mut self, call: &FollowCall, documents: &DocumentRegister) {
        self.document_number = documents.number();
        if documents.number() > call.document_number {
            self.document = documents.content().clone();
        }
        self.retired_total = documents.retired_total();
        let retired = documents.retired_after(call.retired_total);
        self.retired = retired.cloned().collect();
    }

    /// Tells which requests are in quarantine, to a follower that knows an older list.
    pub(super) fn tell_quarantine(&mut self, call: &FollowCall, register: &QuarantineRegister) {
        self.quarantine_revision = register.revision();
        if register.revision() > call.quarantine_revision {
            self.quarantined = register.digests().map(|digest| digest.to_bytes()).collect();
        }
    }

    /// Adds the evacuations, for a follower that knows older ones.
    pub(super) fn add_evacuations(&mut self, call: &FollowCall, register: &EvacuationRegister) {
        self.evacuation_revision = register.revision();
        if register.revision() > call.evacuation_revision {
            self.evacuations = register.records().cloned().collect();
        }
    }

    /// Tells the endpoints that have changed, or all of them to a follower of another
    /// table.
    pub(super) fn tell_endpoints(&mut self, call: &FollowCall, table: &RegistryTable) {
        self.table_epoch = table.epoch();
        self.table_revision = table.revision();
        self.whole = table.epoch() != call.table_epoch;
        let known = if self.whole { 0 } else { call.table_revision };
        self.reports = table.changed_after(known);
    }

    /// Tells who follows control, to a follower that knows other ones.
    pub(super) fn tell_entries(&mut self, call: &FollowCall, entries: &NamedEntries) {
        self.entries_digest = entries.digest;
        if entries.digest != call.entries_digest {
            self.entries = entries.names.clone();
        }
    }
}
