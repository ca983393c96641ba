use prost::Message;

use super::entry_list::FollowerList;
use super::table_digest::parts_for;
use super::{FollowCall, FollowReply, RegistryTable, TableComparison};
use crate::configuration::DocumentRegister;
use crate::control::DocumentRevisions;
use crate::evacuation::EvacuationRegister;
use crate::quarantine::QuarantineRegister;

/// Limit on the reports in one answer, in bytes: a link of 10 Mbit/s carries them within a
/// twentieth of a second, well within the timeout of the call.
const MAX_REPORT_BYTES: usize = 64 << 10;

impl FollowCall {
    /// A call of an entry that follows no control daemon yet; it asks only for their names.
    pub(super) fn for_members() -> Self {
        Self {
            entry: true,
            only_members: true,
            ..Self::default()
        }
    }

    /// Whether there is an update for the follower, so that its call is not held.
    pub(super) fn is_behind(&self, revisions: DocumentRevisions, table: &RegistryTable) -> bool {
        revisions.number > self.document_number
            || revisions.retired_total > self.retired_total
            || revisions.quarantine_revision > self.quarantine_revision
            || revisions.part_revision > self.part_revision
            || revisions.evacuation_revision > self.evacuation_revision
            || table.epoch() != self.table_epoch
            || table.published() > self.table_revision
    }
}

impl FollowCall {
    /// Whether the follower gets endpoints from `table`. Without a confirmation only changes
    /// of the table that it already follows are sent: entries that look for a majority call
    /// one daemon after the other, and a whole table for each call would keep the daemons
    /// from finding a leader.
    pub(super) fn may_receive_endpoints(&self, confirmed: bool, table: &RegistryTable) -> bool {
        confirmed || self.table_epoch == table.epoch()
    }
}

impl FollowReply {
    /// Adds the document in force and the retired endpoints that the follower lacks.
    pub(super) fn add_documents(&mut self, call: &FollowCall, documents: &DocumentRegister) {
        self.document_number = documents.number();
        if documents.number() > call.document_number {
            self.document = documents.content().clone();
        }
        self.retired_total = documents.retired_total();
        let retired = documents.retired_after(call.retired_total);
        self.retired = retired.cloned().collect();
    }

    /// Adds the requests in quarantine, and the watched and quarantined prompt parts, if the
    /// follower has an older revision.
    pub(super) fn add_quarantine(&mut self, call: &FollowCall, register: &QuarantineRegister) {
        self.quarantine_revision = register.revision();
        if register.revision() > call.quarantine_revision {
            self.quarantined = register.digests().map(|digest| digest.to_bytes()).collect();
        }
        let parts = register.parts();
        self.part_revision = parts.revision();
        if parts.revision() > call.part_revision {
            self.watched_parts = parts.watched().keys().map(|part| part.0).collect();
            self.quarantined_parts = parts.quarantines().collect();
        }
    }

    /// Adds the evacuations if the follower has an older revision.
    pub(super) fn add_evacuations(&mut self, call: &FollowCall, register: &EvacuationRegister) {
        self.evacuation_revision = register.revision();
        if register.revision() > call.evacuation_revision {
            self.evacuations = register.records().cloned().collect();
        }
    }

    /// Adds the endpoints that the follower lacks, if [`FollowCall::may_receive_endpoints`]
    /// allows it.
    pub(super) fn add_endpoints_if_allowed(
        &mut self,
        call: &FollowCall,
        confirmed: bool,
        table: &RegistryTable,
    ) {
        if call.may_receive_endpoints(confirmed, table) {
            return self.add_endpoints(call, table);
        }
        self.table_epoch = call.table_epoch;
        self.table_revision = call.table_revision;
        self.comparison = call.comparison;
    }

    /// Adds the endpoints that the follower lacks, as many as fit into one answer.
    ///
    /// A follower of another table gets the parts that differ. A follower without endpoints
    /// gets all of them in the order of their changes.
    pub(super) fn add_endpoints(&mut self, call: &FollowCall, table: &RegistryTable) {
        if call.table_epoch == table.epoch() {
            return self.add_changes(call.table_revision, table);
        }
        if call.endpoints_digest == 0 {
            self.whole = true;
            return self.add_changes(0, table);
        }
        if call.endpoints_digest == table.digests().root() {
            self.table_epoch = table.epoch();
            self.table_revision = table.revision();
            return;
        }
        self.compare(call, table);
    }

    fn add_changes(&mut self, known: u64, table: &RegistryTable) {
        let (reports, revision) = table.changes_within(known, MAX_REPORT_BYTES);
        self.table_epoch = table.epoch();
        self.table_revision = revision;
        self.reports = reports;
    }

    /// Adds the endpoints of parts that differ. The reply names this table's epoch only after
    /// the last part.
    fn compare(&mut self, call: &FollowCall, table: &RegistryTable) {
        let matching = call.comparison.filter(|comparison| {
            let remaining = comparison.parts.saturating_sub(comparison.next_part);
            comparison.epoch == table.epoch()
                && comparison.parts.is_power_of_two()
                && call.part_digests.len() == remaining as usize
        });
        self.table_epoch = call.table_epoch;
        self.table_revision = call.table_revision;
        let Some(mut comparison) = matching else {
            self.comparison = Some(TableComparison {
                epoch: table.epoch(),
                revision: table.revision(),
                parts: parts_for(table.len()),
                next_part: 0,
            });
            return;
        };
        let mut size = 0;
        for known in &call.part_digests {
            let part = comparison.next_part;
            comparison.next_part += 1;
            if *known == table.digests().part(part, comparison.parts) {
                continue;
            }
            self.replaced_parts.push(part);
            for report in table.part(part, comparison.parts) {
                size += report.encoded_len();
                self.reports.push(report.clone());
            }
            if size >= MAX_REPORT_BYTES {
                break;
            }
        }
        if comparison.next_part == comparison.parts {
            self.table_epoch = comparison.epoch;
            self.table_revision = comparison.revision;
        } else {
            self.comparison = Some(comparison);
        }
    }

    /// Adds the entries that follow control and their capacities, if the follower's list
    /// differs. A follower that does not read capacities is not sent a list for their sake.
    pub(super) fn add_entries(&mut self, call: &FollowCall, entries: &FollowerList) {
        self.entries_epoch = entries.epoch();
        self.entries_revision = entries.revision();
        self.entries_digest = entries.digest();
        self.capacities_digest = entries.capacities_digest();
        let has_capacities =
            !call.reads_capacities || self.capacities_digest == call.capacities_digest;
        if self.entries_digest == call.entries_digest && has_capacities {
            return;
        }
        let is_same_list = call.entries_epoch == entries.epoch();
        let changes = is_same_list.then(|| entries.changes_after(call.entries_revision));
        match changes.flatten() {
            Some(changes) => {
                self.entries_since = true;
                self.entries = changes.joined;
                self.entry_capacities = changes.capacities;
                self.entries_left = changes.left;
            }
            None => {
                self.entries = entries.names();
                self.entry_capacities = entries.capacities();
            }
        }
        if !call.reads_capacities {
            self.entry_capacities.clear();
        }
    }
}
