use prost::Message;

use super::report_source::{DigestOutcome, ReportSource, SourceDigests, digest_part};
use super::table_digest::{ChangeIndex, PartDigests, RecordMark};
use super::{EndpointDigest, EndpointIncarnation, EndpointRefresh, EndpointReport};
use crate::hashing::stable_hash;
use crate::prelude::*;

/// Missed announcements after which an endpoint counts as silent. Two may be late or lost on
/// a bad link.
const MISSED_ANNOUNCEMENTS: u32 = 3;

/// Missed announcements after which a silent endpoint is removed. By then, entries that can
/// still reach it have long been informed that it is silent.
const EXPIRY_ANNOUNCEMENTS: u32 = 30;

/// Minimum time between two publications of endpoint changes. With an answer for each
/// endpoint, a start of all of them would cost endpoints times followers answers.
const PUBLISH_PAUSE: Duration = Duration::from_millis(120);

/// Number of followers up to which [`PUBLISH_PAUSE`] applies. With more followers the pause
/// grows in proportion, so that the number of answers per second stays the same.
const FOLLOWERS_PER_PAUSE: usize = 24;

/// Maximum number of listed endpoints when the settings name no other limit.
const MAX_ENDPOINTS: usize = 65_536;

/// An endpoint counts as announced again when it was confirmed at least the announcement
/// interval, divided by this number, after it was listed.
const REANNOUNCE_INTERVAL_PARTS: u32 = 2;

/// Result of applying a report or refresh of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// Entries must be informed of the change.
    Changed,
    /// Nothing changed; the endpoint is alive.
    Refreshed,
    /// Nothing changed, but the endpoint announces itself to this daemon now, and the other
    /// control daemons must be informed of that.
    Moved,
    /// The known report is newer, or the same.
    Stale,
    /// The report puts a known incarnation at another address, pool or data centre; the known
    /// report stays.
    Relocated,
    /// A refresh of an endpoint or incarnation that is not listed.
    Unknown,
    /// The endpoint is not listed, because none in the full table may be removed for it.
    Full,
}

/// Endpoints known to one control daemon, by their own announcements and by reports of other
/// control daemons. The table is kept in memory only, because endpoints announce themselves
/// again within seconds.
#[derive(Debug)]
pub struct RegistryTable {
    epoch: u64,
    index: ChangeIndex,
    /// Revision up to which changes were published to waiting followers.
    published: u64,
    published_at: Option<Instant>,
    publish_pause: Duration,
    interval: Duration,
    max_endpoints: usize,
    records: BTreeMap<Arc<str>, RegistryRecord>,
    /// Endpoints that were announced only once, by eviction rank.
    announced_once: BTreeSet<(u64, Arc<str>)>,
    /// Attempts to list an endpoint when the table was full.
    refused: u64,
    sources: SourceDigests,
    last_tick: Option<Instant>,
    /// End of the time in which no endpoint is marked silent, because this daemon was delayed.
    silence_grace_until: Option<Instant>,
}

#[derive(Debug)]
struct RegistryRecord {
    report: EndpointReport,
    listed_at: Instant,
    reported_at: Instant,
    mark: RecordMark,
    source: ReportSource,
    /// Whether the source, which may be this daemon, considers the endpoint silent.
    is_silent_by_source: bool,
    /// The source in whose digest the record is counted, with its contribution.
    counted_in: Option<(ReportSource, u64)>,
}

/// Result of one check for silent endpoints.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TickOutcome {
    /// Whether any endpoint was marked silent, so that entries must be informed.
    pub changed: bool,
    /// Reports of the newly silent endpoints that announced themselves to this daemon, to be
    /// sent to the other control daemons.
    pub newly_silent: Vec<EndpointReport>,
}

impl RegistryTable {
    /// Creates an empty table. `epoch` distinguishes it from earlier tables of this daemon;
    /// endpoints announce themselves about every `interval`.
    pub fn new(epoch: u64, interval: Duration) -> Self {
        Self::with_limit(epoch, interval, MAX_ENDPOINTS)
    }

    /// Like [`Self::new`], with a limit on the number of listed endpoints.
    pub fn with_limit(epoch: u64, interval: Duration, max_endpoints: usize) -> Self {
        Self {
            epoch: epoch.max(1),
            index: ChangeIndex::default(),
            published: 0,
            published_at: None,
            publish_pause: PUBLISH_PAUSE,
            interval,
            max_endpoints,
            records: BTreeMap::new(),
            announced_once: BTreeSet::new(),
            refused: 0,
            sources: SourceDigests::default(),
            last_tick: None,
            silence_grace_until: None,
        }
    }

    /// Epoch that distinguishes this table from earlier ones of the daemon; never 0.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Number of the last change that entries must be informed of; grows with each.
    pub fn revision(&self) -> u64 {
        self.index.revision()
    }

    /// Digests of the listed endpoints.
    pub(super) fn digests(&self) -> &PartDigests {
        self.index.digests()
    }

    /// Number of attempts to list an endpoint when the table was full, whether it or another
    /// one was dropped.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Revision up to which changes were published to waiting followers.
    pub fn published(&self) -> u64 {
        self.published
    }

    /// Sets the pause between publications for a number of followers.
    pub(super) fn set_publish_pause(&mut self, followers: usize) {
        let excess = followers.max(FOLLOWERS_PER_PAUSE) as u32;
        self.publish_pause = PUBLISH_PAUSE * excess / FOLLOWERS_PER_PAUSE as u32;
    }

    /// Publishes all changes so far to waiting followers. When the last publication is too
    /// recent, nothing is published and the time for the next attempt is returned.
    pub fn publish(&mut self, now: Instant) -> Option<Instant> {
        if self.published == self.revision() {
            return None;
        }
        let next_publish_at = self.published_at.map(|at| at + self.publish_pause);
        if next_publish_at.is_some_and(|next_publish_at| now < next_publish_at) {
            return next_publish_at;
        }
        self.published = self.revision();
        self.published_at = Some(now);
        None
    }

    /// Applies an announcement that the endpoint sent to this daemon.
    pub fn record(&mut self, now: Instant, mut report: EndpointReport) -> ReportOutcome {
        report.silent = false;
        let known = self.records.get(report.id.as_str());
        let is_moved = known.is_some_and(|record| record.source != ReportSource::Own);
        let outcome = self.apply_report(now, report, ReportSource::Own);
        match outcome {
            ReportOutcome::Refreshed if is_moved => ReportOutcome::Moved,
            outcome => outcome,
        }
    }

    /// Applies a report of an endpoint that announces itself to another control daemon, as
    /// sent by that daemon.
    pub fn record_from(
        &mut self,
        now: Instant,
        member: &str,
        report: EndpointReport,
    ) -> ReportOutcome {
        self.apply_report(now, report, ReportSource::Member(member.into()))
    }

    fn apply_report(
        &mut self,
        now: Instant,
        report: EndpointReport,
        source: ReportSource,
    ) -> ReportOutcome {
        let is_relocated = self.is_relocated(&report);
        let Some(record) = self.records.get_mut(report.id.as_str()) else {
            return self.insert(now, report, source);
        };
        let is_own = source == ReportSource::Own;
        let ordering = report.order().cmp(&record.report.order());
        // An equal report from a member is applied, as it updates the record's source.
        if ordering.is_lt() || (is_own && ordering.is_eq()) {
            return ReportOutcome::Stale;
        }
        if is_relocated {
            return ReportOutcome::Relocated;
        }
        if report.born_ms > record.report.born_ms {
            log_event!(
                info,
                "endpoint_restarted",
                endpoint = report.id,
                was_born_ms = record.report.born_ms,
                born_ms = report.born_ms
            );
        }
        let is_unchanged = is_same_for_entries(&record.report, &report);
        if !report.silent {
            record.reported_at = now;
        }
        record.source = source;
        record.is_silent_by_source = report.silent;
        record.report = report;
        record.update_source_digest(&mut self.sources);
        if is_unchanged {
            return ReportOutcome::Refreshed;
        }
        record.record_change(&mut self.index);
        ReportOutcome::Changed
    }

    /// Adds an endpoint, unless the table is full and no endpoint may be removed.
    fn insert(
        &mut self,
        now: Instant,
        report: EndpointReport,
        source: ReportSource,
    ) -> ReportOutcome {
        if self.records.len() >= self.max_endpoints && !self.evict_for(&report.id) {
            return ReportOutcome::Full;
        }
        let id: Arc<str> = report.id.as_str().into();
        let mut record = RegistryRecord {
            listed_at: now,
            reported_at: now,
            mark: RecordMark::default(),
            source,
            is_silent_by_source: report.silent,
            counted_in: None,
            report,
        };
        record.update_source_digest(&mut self.sources);
        self.index
            .record_change(&id, &mut record.mark, &record.report);
        self.announced_once
            .insert((self.eviction_rank(&id), Arc::clone(&id)));
        self.records.insert(id, record);
        ReportOutcome::Changed
    }

    /// Removes an endpoint from the full table so that a new one can be listed; false when
    /// none may be removed.
    ///
    /// A silent endpoint is removed first. Otherwise, of those that were announced only once,
    /// the one of lowest eviction rank is removed if the new endpoint ranks higher. Unused
    /// names thus keep no endpoint out, and if too many endpoints announce themselves, always
    /// the same ones stay.
    fn evict_for(&mut self, new_endpoint: &str) -> bool {
        self.refused += 1;
        let silent = self.index.any_silent().cloned();
        let first = self.announced_once.first();
        let first = first.filter(|(rank, _)| *rank < self.eviction_rank(new_endpoint));
        let Some(id) = silent.or_else(|| first.map(|(_, id)| Arc::clone(id))) else {
            log_event!(
                debug,
                "registry_full",
                refused = new_endpoint,
                bound = self.max_endpoints
            );
            return false;
        };
        log_event!(
            debug,
            "registry_full",
            dropped = id,
            endpoint = new_endpoint,
            bound = self.max_endpoints
        );
        self.drop_record(&id);
        true
    }

    /// Rank by a hash of the epoch and the endpoint's name.
    fn eviction_rank(&self, id: &str) -> u64 {
        stable_hash(&[&self.epoch.to_le_bytes(), id.as_bytes()])
    }

    /// Removes endpoints from `announced_once` that were confirmed again after they were listed.
    fn drop_announced_again(&mut self) {
        let reannounced_after = self.interval / REANNOUNCE_INTERVAL_PARTS;
        let records = &self.records;
        let sources = &self.sources;
        self.announced_once.retain(|(_, id)| {
            let Some(record) = records.get(id) else {
                return false;
            };
            record.last_confirmed_at(sources) < record.listed_at + reannounced_after
        });
    }

    fn drop_record(&mut self, id: &str) {
        if let Some((id, record)) = self.records.remove_entry(id) {
            record.leave_source_digest(&mut self.sources);
            self.index.remove(&id, &record.mark);
            self.announced_once.remove(&(self.eviction_rank(&id), id));
        }
    }

    /// Digest of the live endpoints that announce themselves to this daemon.
    pub fn own_digest(&self) -> EndpointDigest {
        self.sources.own_digest()
    }

    /// Last reports of the live endpoints that announce themselves to this daemon.
    pub fn own_reports(&self) -> Vec<EndpointReport> {
        let records = self.records.values();
        let own = records.filter(|record| record.source == ReportSource::Own);
        let own = own.filter(|record| !record.is_silent_by_source);
        own.map(|record| record.report.clone()).collect()
    }

    /// Applies another control daemon's digest of the endpoints that announce themselves to it.
    /// A digest that matches the list here confirms these endpoints.
    pub fn apply_digest(
        &mut self,
        now: Instant,
        member: &str,
        digest: EndpointDigest,
    ) -> DigestOutcome {
        let outcome = self.sources.apply_digest(now, member, digest);
        if outcome == DigestOutcome::Listed && self.sources.clear_lost(member) {
            self.restore_endpoints_of(member);
        }
        outcome
    }

    /// Applies the complete list of endpoints that announce themselves to another control
    /// daemon. Listed endpoints of that daemon that are not in the list lose their source.
    pub fn apply_list(&mut self, now: Instant, member: &str, reports: Vec<EndpointReport>) {
        let listed: FastSet<String> = reports.iter().map(|report| report.id.clone()).collect();
        for report in reports {
            self.record_from(now, member, report);
        }
        for record in self.records.values_mut() {
            if record.source.is_member(member) && !listed.contains(&record.report.id) {
                record.source = ReportSource::Unknown;
                record.update_source_digest(&mut self.sources);
            }
        }
        self.sources.record_list(now, member);
        if self.sources.clear_lost(member) {
            self.restore_endpoints_of(member);
        }
    }

    /// Marks the endpoints of a member as live again that were marked silent only because the
    /// member was lost.
    fn restore_endpoints_of(&mut self, member: &str) {
        for record in self.records.values_mut() {
            let is_assumed_silent = record.report.silent && !record.is_silent_by_source;
            if is_assumed_silent && record.source.is_member(member) {
                record.report.silent = false;
                record.record_change(&mut self.index);
            }
        }
    }

    /// Applies a refresh that another control daemon forwards, which shows that an endpoint is
    /// alive.
    pub fn refresh(&mut self, now: Instant, refresh: &EndpointRefresh) -> ReportOutcome {
        let Some(record) = self.records.get_mut(refresh.id.as_str()) else {
            return ReportOutcome::Unknown;
        };
        if refresh.order() <= record.report.order() {
            return ReportOutcome::Stale;
        }
        if refresh.born_ms != record.report.born_ms {
            return ReportOutcome::Unknown;
        }
        record.reported_at = now;
        record.report.sequence = refresh.sequence;
        if !record.report.silent {
            return ReportOutcome::Refreshed;
        }
        record.report.silent = false;
        record.is_silent_by_source = false;
        record.update_source_digest(&mut self.sources);
        record.record_change(&mut self.index);
        ReportOutcome::Changed
    }

    /// Removes an endpoint whose listed incarnation is the given one, which has left or is
    /// leaving, or an earlier one.
    pub fn remove(&mut self, incarnation: &EndpointIncarnation) {
        let known = self.records.get(incarnation.endpoint.as_str());
        if known.is_some_and(|record| record.report.born_ms <= incarnation.born_ms) {
            self.drop_record(&incarnation.endpoint);
        }
    }

    /// Whether a report puts the listed incarnation at another address, pool or data centre.
    pub fn is_relocated(&self, report: &EndpointReport) -> bool {
        let record = self.records.get(report.id.as_str());
        let known = record.map(|record| &record.report);
        known
            .is_some_and(|known| known.born_ms == report.born_ms && !known.is_same_location(report))
    }

    /// The incarnation that is listed under a name.
    pub fn incarnation_of(&self, endpoint: &str) -> Option<EndpointIncarnation> {
        let record = self.records.get(endpoint);
        record.map(|record| record.report.incarnation())
    }

    /// Data centres of all listed endpoints.
    pub fn data_centers(&self) -> BTreeSet<String> {
        let records = self.records.values();
        let names = records.map(|record| record.report.data_center.clone());
        names.collect()
    }

    /// Removes expired endpoints, and marks those silent that were not confirmed in time.
    pub fn tick(&mut self, now: Instant) -> TickOutcome {
        let silent_after = self.interval * MISSED_ANNOUNCEMENTS;
        let was_delayed = self.last_tick.is_some_and(|at| now > at + self.interval);
        self.last_tick = Some(now);
        if was_delayed {
            // This daemon was suspended or short of processor time. Announcements that it
            // missed meanwhile don't show that endpoints are silent.
            self.silence_grace_until = Some(now + silent_after);
        }
        self.remove_expired(now);
        let mut outcome = TickOutcome::default();
        if self.silence_grace_until.is_some_and(|until| now < until) {
            return outcome;
        }
        for record in self.records.values_mut() {
            if record.report.silent || now < record.last_confirmed_at(&self.sources) + silent_after
            {
                continue;
            }
            record.report.silent = true;
            record.record_change(&mut self.index);
            outcome.changed = true;
            log_event!(
                info,
                "endpoint_silent",
                endpoint = record.report.id,
                pool = record.report.pool,
                sequence = record.report.sequence
            );
            if record.source == ReportSource::Own {
                record.is_silent_by_source = true;
                record.update_source_digest(&mut self.sources);
                outcome.newly_silent.push(record.report.clone());
            } else {
                self.sources.mark_lost(&record.source);
            }
        }
        outcome
    }

    fn remove_expired(&mut self, now: Instant) {
        let expires_after = self.interval * EXPIRY_ANNOUNCEMENTS;
        let records = self.records.iter();
        let old = records
            .filter(|(_, record)| now >= record.last_confirmed_at(&self.sources) + expires_after);
        let old: Vec<Arc<str>> = old.map(|(id, _)| Arc::clone(id)).collect();
        for id in old {
            self.drop_record(&id);
        }
        self.drop_announced_again();
    }

    /// Reports that changed after `revision`, sorted by name; all reports for revision 0.
    pub fn changed_after(&self, revision: u64) -> Vec<EndpointReport> {
        let (mut reports, _) = self.changes_within(revision, usize::MAX);
        reports.sort_by(|left, right| left.id.cmp(&right.id));
        reports
    }

    /// The first reports that changed after `revision`, up to about `bytes`, and the revision
    /// reached by applying them.
    pub(super) fn changes_within(&self, revision: u64, bytes: usize) -> (Vec<EndpointReport>, u64) {
        let mut reports = Vec::new();
        let mut size = 0;
        for (changed, id) in self.index.changed_after(revision) {
            let Some(report) = self.report(id) else {
                continue;
            };
            size += report.encoded_len();
            reports.push(report.clone());
            if size >= bytes {
                return (reports, changed);
            }
        }
        (reports, self.revision())
    }

    /// Reports of one of `parts` parts; `parts` is a power of two.
    pub(super) fn part(&self, part: u32, parts: u32) -> impl Iterator<Item = &EndpointReport> {
        let ids = self.index.part(part, parts);
        ids.filter_map(|id| self.report(id))
    }

    fn report(&self, id: &str) -> Option<&EndpointReport> {
        self.records.get(id).map(|record| &record.report)
    }

    /// Number of listed endpoints, silent ones included.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no endpoint is listed.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

impl ReportSource {
    fn is_member(&self, name: &str) -> bool {
        matches!(self, Self::Member(member) if **member == *name)
    }
}

impl RegistryRecord {
    /// Time of the last report or refresh, or of its source's last confirmation if later.
    fn last_confirmed_at(&self, sources: &SourceDigests) -> Instant {
        let confirmed_at = sources.confirmed_at(&self.source);
        confirmed_at.map_or(self.reported_at, |confirmed_at| {
            confirmed_at.max(self.reported_at)
        })
    }

    /// Records a change that entries must be informed of.
    fn record_change(&mut self, index: &mut ChangeIndex) {
        let id: Arc<str> = self.report.id.as_str().into();
        index.record_change(&id, &mut self.mark, &self.report);
    }

    /// Moves the record to the digest of its current source; a record whose source considers
    /// it silent is in no digest.
    fn update_source_digest(&mut self, sources: &mut SourceDigests) {
        let part = digest_part(&self.report.incarnation());
        let source = (!self.is_silent_by_source).then(|| (self.source.clone(), part));
        if source == self.counted_in {
            return;
        }
        self.leave_source_digest(sources);
        if let Some((source, part)) = &source {
            sources.add(source, *part);
        }
        self.counted_in = source;
    }

    fn leave_source_digest(&self, sources: &mut SourceDigests) {
        if let Some((source, part)) = &self.counted_in {
            sources.remove(source, *part);
        }
    }
}

/// Whether two reports are the same for entries.
fn is_same_for_entries(known: &EndpointReport, reported: &EndpointReport) -> bool {
    let has_same_cold_state = (known.cold_ms > 0) == (reported.cold_ms > 0);
    has_same_cold_state
        && known.silent == reported.silent
        && known.born_ms == reported.born_ms
        && known.is_same_location(reported)
        && known.slots == reported.slots
        && known.version == reported.version
}

#[cfg(test)]
#[path = "registry_table_tests.rs"]
mod tests;
