use super::table_digest::{PartDigests, ReportKey};
use super::{
    BootTime, EndpointIncarnation, EndpointReport, EntryCapacity, FollowCall, FollowReply,
    IncarnationToken, TableComparison,
};
use crate::evacuation::EvacuationView;
use crate::hashing::stable_hash;
use crate::prelude::*;
use crate::quarantine::QuarantineList;
use crate::transport::PeerName;

/// Announcement intervals for which an endpoint is kept that the followed daemon does not
/// list: within them, a daemon that has just started receives the endpoint's announcement.
const UNLISTED_ANNOUNCEMENTS: u32 = 5;

/// Announcement interval of endpoints if the settings name none.
const DEFAULT_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_200);

/// An endpoint as control has reported it to an entry.
#[derive(Clone, Debug)]
pub struct FollowedEndpoint {
    /// Its newest report.
    pub report: EndpointReport,
    /// Since when the followed daemon has not listed it; `None` while it does.
    pub unlisted_since: Option<BootTime>,
    /// When this entry received the first report of this incarnation.
    pub first_reported_at: Instant,
    /// Ends when a later incarnation of the endpoint is reported.
    pub incarnation_token: IncarnationToken,
    key: ReportKey,
}

impl FollowedEndpoint {
    fn new(report: EndpointReport) -> Self {
        Self {
            first_reported_at: Instant::now(),
            unlisted_since: None,
            key: ReportKey::from_report(&report),
            report,
            incarnation_token: IncarnationToken::default(),
        }
    }

    /// Applies a report of this incarnation and ignores earlier ones; returns whether anything
    /// changed.
    /// Of an older report by a lagging daemon only `silent` is used: it shows whether that
    /// daemon still receives the endpoint's announcements.
    fn apply(&mut self, report: EndpointReport) -> bool {
        if report.born_ms < self.report.born_ms {
            return false;
        }
        self.unlisted_since = None;
        let merged = match report.sequence < self.report.sequence {
            true => EndpointReport {
                silent: report.silent,
                ..self.report.clone()
            },
            false => report,
        };
        let is_new = self.report != merged;
        self.key = ReportKey::from_report(&merged);
        self.report = merged;
        is_new
    }
}

/// Confirmation by a majority that no newer document was committed before a point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// Number of the newest document; 0 for none.
    pub document_number: u64,
    /// Time up to which the confirmation holds.
    pub at: BootTime,
}

/// Which parts of the state a reply changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FollowUpdate {
    /// A newer document is in force.
    pub document: bool,
    /// Endpoints were added, changed or removed.
    pub endpoints: bool,
    /// Entries were added or removed, or their capacities changed.
    pub entries: bool,
    /// The list of requests or that of prompt parts in quarantine has a new revision.
    pub quarantine: bool,
    /// Evacuations began or ended.
    pub evacuations: bool,
}

/// State that an entry has received from control, as a state machine without I/O.
#[derive(Clone, Debug, Default)]
pub struct FollowState {
    document_number: u64,
    document: Bytes,
    retired_total: u64,
    table_epoch: u64,
    table_revision: u64,
    confirmation: Option<Confirmation>,
    entries: Arc<[PeerName]>,
    entries_digest: u64,
    /// Capacities of `entries`, in the same order; empty if all are unknown.
    entry_capacities: Arc<[EntryCapacity]>,
    capacities_digest: u64,
    entries_epoch: u64,
    entries_revision: u64,
    endpoints: BTreeMap<String, FollowedEndpoint>,
    /// Digests of the endpoints, comparable with those of a control daemon.
    digests: PartDigests,
    /// Progress of the comparison with the table of another control daemon.
    comparison: Option<TableComparison>,
    /// Endpoints that were added, changed or removed since [`Self::take_changed`].
    changed: BTreeSet<String>,
    /// `born_ms` of the latest retired incarnation of each endpoint.
    retired: FastMap<String, u64>,
    quarantine: Arc<QuarantineList>,
    evacuations: EvacuationView,
    announce_interval: Option<Duration>,
}

impl FollowState {
    /// An empty state; endpoints announce themselves about every `interval`.
    pub fn with_interval(interval: Duration) -> Self {
        Self {
            announce_interval: Some(interval),
            ..Self::default()
        }
    }

    fn unlisted_timeout(&self) -> Duration {
        self.announce_interval.unwrap_or(DEFAULT_ANNOUNCE_INTERVAL) * UNLISTED_ANNOUNCEMENTS
    }

    /// The next call, which asks for what this entry lacks.
    pub fn next_call(&self, hold: Duration) -> FollowCall {
        FollowCall {
            document_number: self.document_number,
            retired_total: self.retired_total,
            table_epoch: self.table_epoch,
            table_revision: self.table_revision,
            wait_ms: hold.as_millis() as u32,
            entry: true,
            leaving: false,
            entries_digest: self.entries_digest,
            quarantine_revision: self.quarantine.revision(),
            part_revision: self.quarantine.part_revision(),
            evacuation_revision: self.evacuations.revision(),
            endpoints_digest: self.digests.root(),
            comparison: self.comparison,
            part_digests: self.part_digests(),
            entries_revision: self.entries_revision,
            entries_epoch: self.entries_epoch,
            only_members: false,
            capacity_millicores: 0,
            reads_capacities: true,
            capacities_digest: self.capacities_digest,
        }
    }

    /// Digests of the parts that are still to be compared.
    fn part_digests(&self) -> Vec<u32> {
        let Some(comparison) = &self.comparison else {
            return Vec::new();
        };
        let parts = comparison.next_part..comparison.parts;
        let digests = parts.map(|part| self.digests.part(part, comparison.parts));
        digests.collect()
    }

    /// Applies the answer to a call that was sent at `sent` and arrived by `now`.
    ///
    /// The state never goes back: a lagging daemon can neither replace a document nor restore
    /// a retired endpoint. Only a confirmed answer proves that the state is current, as of
    /// the start of the majority's round.
    pub fn apply(&mut self, sent: BootTime, now: BootTime, mut reply: FollowReply) -> FollowUpdate {
        let mut update = FollowUpdate::default();
        if reply.document_number > self.document_number {
            self.document_number = reply.document_number;
            self.document = std::mem::take(&mut reply.document);
            update.document = true;
        }
        if reply.retired_total > self.retired_total {
            self.retired_total = reply.retired_total;
            for incarnation in std::mem::take(&mut reply.retired) {
                update.endpoints |= self.retire(incarnation);
            }
        }
        if reply.whole {
            self.mark_unlisted(now, |_| true);
        }
        self.apply_comparison(now, &reply);
        self.table_epoch = reply.table_epoch;
        self.table_revision = reply.table_revision;
        for report in std::mem::take(&mut reply.reports) {
            update.endpoints |= self.apply_report(report);
        }
        update.endpoints |= self.remove_expired(now);
        update.entries = self.apply_entries(&reply);
        // With a list that differs from the reported digest, epoch 0 requests the whole list
        // in the next call.
        let is_list_current = self.entries_digest == reply.entries_digest;
        self.entries_epoch = if is_list_current {
            reply.entries_epoch
        } else {
            0
        };
        self.entries_revision = reply.entries_revision;
        update.quarantine = self.apply_quarantine(&reply);
        update.evacuations = self.evacuations.apply(
            Instant::now(),
            reply.evacuation_revision,
            &reply.evacuations,
        );
        let is_current = reply.document_number >= self.document_number
            && reply.retired_total >= self.retired_total
            && reply.evacuation_revision >= self.evacuations.revision();
        if reply.confirmed && is_current {
            let since = sent.plus(Duration::from_millis(reply.held_ms.into()));
            self.confirm(since);
        }
        update
    }

    /// Applies newer quarantine lists; returns whether there were any.
    fn apply_quarantine(&mut self, reply: &FollowReply) -> bool {
        let is_newer = reply.quarantine_revision > self.quarantine.revision()
            || reply.part_revision > self.quarantine.part_revision();
        if is_newer {
            let list = Arc::make_mut(&mut self.quarantine);
            list.apply_requests(reply.quarantine_revision, &reply.quarantined);
            list.apply_parts(
                reply.part_revision,
                &reply.watched_parts,
                &reply.quarantined_parts,
            );
        }
        is_newer
    }

    fn confirm(&mut self, at: BootTime) {
        let before = self.confirmation.map(|confirmation| confirmation.at);
        self.confirmation = Some(Confirmation {
            document_number: self.document_number,
            at: before.map_or(at, |before| before.max(at)),
        });
    }

    fn retire(&mut self, incarnation: EndpointIncarnation) -> bool {
        let EndpointIncarnation { endpoint, born_ms } = incarnation;
        let known = self.endpoints.get(&endpoint);
        let is_known = known.is_some_and(|known| known.report.born_ms <= born_ms);
        if is_known && let Some(known) = self.endpoints.remove(&endpoint) {
            self.digests.toggle(&known.key);
            self.changed.insert(endpoint.clone());
        }
        let retired = self.retired.entry(endpoint).or_default();
        *retired = born_ms.max(*retired);
        is_known
    }

    fn apply_report(&mut self, report: EndpointReport) -> bool {
        let retired = self.retired.get(&report.id);
        if retired.is_some_and(|born_ms| report.born_ms <= *born_ms) {
            return false;
        }
        if let Some(known) = self.endpoints.get_mut(&report.id)
            && report.born_ms <= known.report.born_ms
        {
            self.digests.toggle(&known.key);
            let is_new = known.apply(report);
            self.digests.toggle(&known.key);
            if is_new {
                self.changed.insert(known.report.id.clone());
            }
            return is_new;
        }
        let known = FollowedEndpoint::new(report);
        self.digests.toggle(&known.key);
        self.changed.insert(known.report.id.clone());
        let before = self.endpoints.insert(known.report.id.clone(), known);
        if let Some(before) = before {
            self.digests.toggle(&before.key);
            log_event!(
                info,
                "endpoint_replaced",
                endpoint = before.report.incarnation(),
                pool = before.report.pool
            );
            before.incarnation_token.end();
        }
        true
    }

    /// Applies the progress of the comparison with another daemon's table. Endpoints that
    /// this daemon does not list are kept for [`Self::unlisted_timeout`].
    fn apply_comparison(&mut self, now: BootTime, reply: &FollowReply) {
        let is_other_table = reply.table_epoch != self.table_epoch;
        let before = std::mem::replace(&mut self.comparison, reply.comparison);
        let compared = before.filter(|before| {
            let is_next = |next: &TableComparison| next.epoch == before.epoch;
            match &reply.comparison {
                Some(next) => is_next(next),
                None => before.epoch == reply.table_epoch,
            }
        });
        let Some(compared) = compared else {
            if is_other_table && !reply.whole && reply.comparison.is_none() {
                // Both tables list the same endpoints.
                self.mark_listed(|_| true);
            }
            return;
        };
        if reply.comparison.is_none() {
            log_event!(
                info,
                "table_compared",
                epoch = compared.epoch,
                parts = compared.parts,
                endpoints = self.endpoints.len()
            );
        }
        let end = reply
            .comparison
            .map_or(compared.parts, |next| next.next_part);
        let is_replaced = |key: &ReportKey| {
            reply
                .replaced_parts
                .binary_search(&key.part(compared.parts))
                .is_ok()
        };
        let parts = compared.next_part..end;
        let is_compared = |key: &ReportKey| parts.contains(&key.part(compared.parts));
        self.mark_unlisted(now, is_replaced);
        self.mark_listed(|key| is_compared(key) && !is_replaced(key));
    }

    /// Applies all entries with their capacities, or the changes since the known revision;
    /// returns whether one of the digests differs from the known one. If the changes don't lead
    /// to the reported digests, the whole list is requested next.
    fn apply_entries(&mut self, reply: &FollowReply) -> bool {
        let is_same_list = reply.entries_digest == self.entries_digest;
        if is_same_list && reply.capacities_digest == self.capacities_digest {
            return false;
        }
        // A daemon of an earlier version knows no capacities, and sends no list whose names the
        // follower has.
        let is_list_sent = !is_same_list || !reply.entries.is_empty();
        let mut entries = match reply.entries_since || !is_list_sent {
            true => self.known_entries(),
            false => BTreeMap::new(),
        };
        for (name, capacity) in EntryCapacity::beside(&reply.entries, &reply.entry_capacities) {
            if let Ok(name) = PeerName::new(name) {
                entries.insert(name, capacity);
            }
        }
        for name in &reply.entries_left {
            entries.remove(name.as_str());
        }
        if reply.capacities_digest == 0 {
            entries
                .values_mut()
                .for_each(|capacity| *capacity = EntryCapacity::default());
        }
        self.set_entries(entries);
        self.entries_digest = reply.entries_digest;
        self.capacities_digest = reply.capacities_digest;
        if reply.entries_since && !self.has_digests(reply) {
            self.entries_digest = 0;
            log_event!(info, "entries_differ", known = self.entries.len());
        }
        true
    }

    fn known_entries(&self) -> BTreeMap<PeerName, EntryCapacity> {
        let capacities = self.entry_capacities.iter().copied();
        let capacities = capacities.chain(std::iter::repeat(EntryCapacity::default()));
        self.entries.iter().cloned().zip(capacities).collect()
    }

    /// Keeps the previous lists where they are the same, so that views of them stay valid.
    fn set_entries(&mut self, entries: BTreeMap<PeerName, EntryCapacity>) {
        let is_known = entries.values().any(|capacity| capacity.is_known());
        let capacities = entries.values().copied().filter(|_| is_known);
        let capacities: Arc<[EntryCapacity]> = capacities.collect();
        if capacities != self.entry_capacities {
            self.entry_capacities = capacities;
        }
        let names: Arc<[PeerName]> = entries.into_keys().collect();
        if names != self.entries {
            self.entries = names;
        }
    }

    /// Whether the known entries and capacities have the digests that the daemon reports.
    fn has_digests(&self, reply: &FollowReply) -> bool {
        let names = self.entries.iter().map(PeerName::as_str);
        let entries_digest = names.clone().map(|name| stable_hash(&[name.as_bytes()]));
        let capacities = self.entry_capacities.iter().zip(names);
        let capacities_digest = capacities.map(|(capacity, name)| capacity.digest(name));
        entries_digest.fold(0, |digest, name| digest ^ name) == reply.entries_digest
            && capacities_digest.fold(0, |digest, entry| digest ^ entry) == reply.capacities_digest
    }

    /// Marks matching endpoints as unlisted since `now`, if they are not marked already.
    fn mark_unlisted(&mut self, now: BootTime, is_matching: impl Fn(&ReportKey) -> bool) {
        for known in self.endpoints.values_mut() {
            if is_matching(&known.key) {
                known.unlisted_since.get_or_insert(now);
            }
        }
    }

    /// Removes the mark of matching endpoints, which the daemon lists.
    fn mark_listed(&mut self, is_matching: impl Fn(&ReportKey) -> bool) {
        for known in self.endpoints.values_mut() {
            if is_matching(&known.key) {
                known.unlisted_since = None;
            }
        }
    }

    fn remove_expired(&mut self, now: BootTime) -> bool {
        let unlisted_timeout = self.unlisted_timeout();
        let (digests, changed) = (&mut self.digests, &mut self.changed);
        let before = self.endpoints.len();
        self.endpoints.retain(|id, known| {
            let is_kept = known
                .unlisted_since
                .is_none_or(|since| now.since(since) < unlisted_timeout);
            if !is_kept {
                digests.toggle(&known.key);
                changed.insert(id.clone());
            }
            is_kept
        });
        self.endpoints.len() != before
    }

    /// Takes the names of the endpoints that were added, changed or removed since the last
    /// call.
    pub fn take_changed(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.changed)
    }

    /// The endpoint with this name, if it is known and not retired.
    pub fn endpoint(&self, id: &str) -> Option<&FollowedEndpoint> {
        self.endpoints.get(id)
    }

    /// Number of the document in force here; 0 for none.
    pub fn document_number(&self) -> u64 {
        self.document_number
    }

    /// Content of the document in force.
    pub fn document(&self) -> &Bytes {
        &self.document
    }

    /// All endpoints that are known and not retired, sorted by name.
    pub fn endpoints(&self) -> impl Iterator<Item = &FollowedEndpoint> {
        self.endpoints.values()
    }

    /// The last confirmation; `None` before the first one.
    pub fn confirmation(&self) -> Option<Confirmation> {
        self.confirmation
    }

    /// Time up to which nothing newer was committed; `None` before the first confirmation.
    pub fn confirmed_at(&self) -> Option<BootTime> {
        self.confirmation.map(|confirmation| confirmation.at)
    }

    /// Requests and prompt parts in quarantine, which are sent to no endpoint, and watched parts.
    pub fn quarantine(&self) -> &Arc<QuarantineList> {
        &self.quarantine
    }

    /// Data centres whose endpoints get no new work.
    pub fn evacuations(&self) -> &EvacuationView {
        &self.evacuations
    }

    /// Entries that follow control, as last reported, sorted by name.
    pub fn entries(&self) -> &Arc<[PeerName]> {
        &self.entries
    }

    /// Capacities of [`Self::entries`], in the same order; empty if all are unknown.
    pub fn entry_capacities(&self) -> &Arc<[EntryCapacity]> {
        &self.entry_capacities
    }
}

#[cfg(test)]
#[path = "follow_state_tests.rs"]
mod tests;
