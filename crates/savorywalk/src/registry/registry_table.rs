use super::report_source::{ReportSource, SourceLedger, VouchOutcome, digest_part};
use super::{EndpointDigest, EndpointIncarnation, EndpointRefresh, EndpointReport};
use crate::prelude::*;

/// Announcements missed after which an endpoint counts as silent: two may come
/// late or be lost on a bad link.
const MISSED_ANNOUNCEMENTS: u32 = 3;

/// Announcements missed after which a silent endpoint is forgotten. Entries
/// that still reach it by then have long been told that it is silent.
const FORGOTTEN_ANNOUNCEMENTS: u32 = 30;

/// Pause between two answers about endpoints to one follower: with an answer for each
/// endpoint a start of all of them costs endpoints times followers.
const PUBLISH_PAUSE: Duration = Duration::from_millis(120);

/// Most endpoints listed; several times the target's 1,100.
const MAX_ENDPOINTS: usize = 8_192;

/// What became of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HearOutcome {
    /// Entries must learn of it.
    Changed,
    /// It only shows that the endpoint lives.
    Refreshed,
    /// The same, and other control daemons must learn who hears it now.
    Moved,
    /// A newer announcement is known already.
    Stale,
    /// It puts a known incarnation at another place; the known one holds.
    Foreign,
    /// A sign of life of an endpoint that is not listed.
    Unknown,
}

/// What one control daemon has heard of the endpoints, from themselves and
/// from other control daemons. It is memory only: endpoints announce
/// themselves again within seconds.
#[derive(Debug)]
pub struct RegistryTable {
    epoch: u64,
    revision: u64,
    /// Revision that held calls of followers are answered for.
    published: u64,
    published_at: Option<Instant>,
    interval: Duration,
    records: BTreeMap<String, RegistryRecord>,
    sources: SourceLedger,
    ticked: Option<Instant>,
    /// Until when nobody falls silent: this daemon was late itself.
    lenient_until: Option<Instant>,
}

#[derive(Debug)]
struct RegistryRecord {
    report: EndpointReport,
    heard: Instant,
    revision: u64,
    source: ReportSource,
    /// Whether its source says that it has fallen silent.
    says_silent: bool,
    /// The source that is noted to vouch for it, with its part of the digest.
    vouched_by: Option<(ReportSource, u64)>,
}

/// Endpoints that have fallen silent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TickOutcome {
    /// Whether entries must learn of any.
    pub changed: bool,
    /// Those that this daemon hears itself, for the other control daemons.
    pub fallen: Vec<EndpointReport>,
}

impl RegistryTable {
    /// An empty table; `epoch` tells it from any earlier one of this daemon,
    /// and endpoints announce themselves about every `interval`.
    pub fn new(epoch: u64, interval: Duration) -> Self {
        Self {
            epoch: epoch.max(1),
            revision: 0,
            published: 0,
            published_at: None,
            interval,
            records: BTreeMap::new(),
            sources: SourceLedger::default(),
            ticked: None,
            lenient_until: None,
        }
    }

    /// Incarnation of the table.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Grows with each change that entries must learn of.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Revision that held calls of followers are answered for.
    pub fn published(&self) -> u64 {
        self.published
    }

    /// Has held calls answered for all changes so far, unless that was done just now; when
    /// to try again.
    pub fn publish(&mut self, now: Instant) -> Option<Instant> {
        if self.published == self.revision {
            return None;
        }
        let due = self.published_at.map(|at| at + PUBLISH_PAUSE);
        if due.is_some_and(|due| now < due) {
            return due;
        }
        self.published = self.revision;
        self.published_at = Some(now);
        None
    }

    /// Takes an announcement of the endpoint itself.
    pub fn hear(&mut self, now: Instant, mut report: EndpointReport) -> HearOutcome {
        report.silent = false;
        let known = self.records.get(&report.id);
        let is_moved = known.is_some_and(|record| record.source != ReportSource::Own);
        let outcome = self.take(now, report, ReportSource::Own);
        match outcome {
            HearOutcome::Refreshed if is_moved => HearOutcome::Moved,
            outcome => outcome,
        }
    }

    /// Takes a report that another control daemon passes on of an endpoint that announces
    /// itself there.
    pub fn hear_from(&mut self, now: Instant, member: &str, report: EndpointReport) -> HearOutcome {
        self.take(now, report, ReportSource::Member(member.into()))
    }

    fn take(&mut self, now: Instant, report: EndpointReport, source: ReportSource) -> HearOutcome {
        let is_elsewhere = self.is_elsewhere(&report);
        let Some(record) = self.records.get_mut(&report.id) else {
            self.insert(now, report, source);
            return HearOutcome::Changed;
        };
        let is_own = source == ReportSource::Own;
        let order = report.order().cmp(&record.report.order());
        // What a member passes on again tells who hears the endpoint now.
        if order.is_lt() || (is_own && order.is_eq()) {
            return HearOutcome::Stale;
        }
        if is_elsewhere {
            return HearOutcome::Foreign;
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
        let is_same = is_same(&record.report, &report);
        if !report.silent {
            record.heard = now;
        }
        record.source = source;
        record.says_silent = report.silent;
        record.report = report;
        record.account(&mut self.sources);
        if is_same {
            return HearOutcome::Refreshed;
        }
        self.revision += 1;
        record.revision = self.revision;
        HearOutcome::Changed
    }

    /// Lists an endpoint. When the table is full, the one that was heard of the
    /// longest ago gives way: endpoints that live are heard every interval, so
    /// that names which nobody uses can't crowd them out.
    fn insert(&mut self, now: Instant, report: EndpointReport, source: ReportSource) {
        if self.records.len() >= MAX_ENDPOINTS {
            let oldest = self.records.iter().min_by_key(|(_, record)| record.heard);
            if let Some(id) = oldest.map(|(id, _)| id.clone()) {
                log_event!(warn, "registry_full", dropped = id, endpoint = report.id);
                self.drop_record(&id);
            }
        }
        self.revision += 1;
        let mut record = RegistryRecord {
            heard: now,
            revision: self.revision,
            source,
            says_silent: report.silent,
            vouched_by: None,
            report,
        };
        record.account(&mut self.sources);
        self.records.insert(record.report.id.clone(), record);
    }

    fn drop_record(&mut self, id: &str) {
        if let Some(record) = self.records.remove(id) {
            record.unaccount(&mut self.sources);
        }
    }

    /// The endpoints that announce themselves here and live.
    pub fn own_digest(&self) -> EndpointDigest {
        self.sources.own()
    }

    /// What they last said of themselves.
    pub fn own_reports(&self) -> Vec<EndpointReport> {
        let records = self.records.values();
        let own = records.filter(|record| record.source == ReportSource::Own);
        let own = own.filter(|record| !record.says_silent);
        own.map(|record| record.report.clone()).collect()
    }

    /// Takes what another control daemon vouches for.
    pub fn vouch(&mut self, now: Instant, member: &str, digest: EndpointDigest) -> VouchOutcome {
        let outcome = self.sources.vouch(now, member, digest);
        if outcome == VouchOutcome::Listed && self.sources.find(member) {
            self.wake_endpoints_of(member);
        }
        outcome
    }

    /// Takes all endpoints that another control daemon vouches for.
    pub fn take_list(&mut self, now: Instant, member: &str, reports: Vec<EndpointReport>) {
        let listed: FastSet<String> = reports.iter().map(|report| report.id.clone()).collect();
        for report in reports {
            self.hear_from(now, member, report);
        }
        for record in self.records.values_mut() {
            if record.source.is_member(member) && !listed.contains(&record.report.id) {
                record.source = ReportSource::Nobody;
                record.account(&mut self.sources);
            }
        }
        self.sources.list(now, member);
        if self.sources.find(member) {
            self.wake_endpoints_of(member);
        }
    }

    /// Endpoints that were marked silent since their source had been lost are not.
    fn wake_endpoints_of(&mut self, member: &str) {
        for record in self.records.values_mut() {
            let is_wrong = record.report.silent && !record.says_silent;
            if is_wrong && record.source.is_member(member) {
                record.report.silent = false;
                self.revision += 1;
                record.revision = self.revision;
            }
        }
    }

    /// Takes a sign of life that another control daemon passes on.
    pub fn refresh(&mut self, now: Instant, refresh: &EndpointRefresh) -> HearOutcome {
        let Some(record) = self.records.get_mut(&refresh.id) else {
            return HearOutcome::Unknown;
        };
        if refresh.order() <= record.report.order() {
            return HearOutcome::Stale;
        }
        if refresh.born_ms != record.report.born_ms {
            return HearOutcome::Unknown;
        }
        record.heard = now;
        record.report.sequence = refresh.sequence;
        if !record.report.silent {
            return HearOutcome::Refreshed;
        }
        record.report.silent = false;
        record.says_silent = false;
        record.account(&mut self.sources);
        self.revision += 1;
        record.revision = self.revision;
        HearOutcome::Changed
    }

    /// Forgets an incarnation that has said that it is gone or leaves, and
    /// those before it.
    pub fn remove(&mut self, incarnation: &EndpointIncarnation) {
        let known = self.records.get(&incarnation.endpoint);
        if known.is_some_and(|record| record.report.born_ms <= incarnation.born_ms) {
            self.drop_record(&incarnation.endpoint);
        }
    }

    /// Whether a report puts the incarnation that is listed at another place.
    pub fn is_elsewhere(&self, report: &EndpointReport) -> bool {
        let record = self.records.get(&report.id);
        let known = record.map(|record| &record.report);
        known.is_some_and(|known| known.born_ms == report.born_ms && !known.is_same_place(report))
    }

    /// The incarnation that is listed under a name.
    pub fn incarnation_of(&self, endpoint: &str) -> Option<EndpointIncarnation> {
        let record = self.records.get(endpoint);
        record.map(|record| record.report.incarnation())
    }

    /// Data centres in which endpoints stand.
    pub fn data_centers(&self) -> BTreeSet<String> {
        let records = self.records.values();
        let names = records.map(|record| record.report.data_center.clone());
        names.collect()
    }

    /// Marks the endpoints that have fallen silent.
    pub fn tick(&mut self, now: Instant) -> TickOutcome {
        let silent_after = self.interval * MISSED_ANNOUNCEMENTS;
        let was_late = self.ticked.is_some_and(|at| now > at + self.interval);
        self.ticked = Some(now);
        if was_late {
            // It was suspended or short of processor time: what it did not hear
            // meanwhile tells nothing of endpoints.
            self.lenient_until = Some(now + silent_after);
        }
        self.forget(now);
        let mut outcome = TickOutcome::default();
        if self.lenient_until.is_some_and(|until| now < until) {
            return outcome;
        }
        for record in self.records.values_mut() {
            if record.report.silent || now < record.heard_last(&self.sources) + silent_after {
                continue;
            }
            record.report.silent = true;
            self.revision += 1;
            record.revision = self.revision;
            outcome.changed = true;
            log_event!(
                info,
                "endpoint_silent",
                endpoint = record.report.id,
                pool = record.report.pool,
                sequence = record.report.sequence
            );
            if record.source == ReportSource::Own {
                record.says_silent = true;
                record.account(&mut self.sources);
                outcome.fallen.push(record.report.clone());
            } else {
                self.sources.lose(&record.source);
            }
        }
        outcome
    }

    fn forget(&mut self, now: Instant) {
        let forgotten_after = self.interval * FORGOTTEN_ANNOUNCEMENTS;
        let records = self.records.iter();
        let old =
            records.filter(|(_, record)| now >= record.heard_last(&self.sources) + forgotten_after);
        let old: Vec<String> = old.map(|(id, _)| id.clone()).collect();
        for id in old {
            self.drop_record(&id);
        }
    }

    /// The reports that changed after `revision`; all of them after 0.
    pub fn changed_after(&self, revision: u64) -> Vec<EndpointReport> {
        if revision >= self.revision {
            return Vec::new();
        }
        let records = self.records.values();
        let changed = records.filter(|record| record.revision > revision);
        changed.map(|record| record.report.clone()).collect()
    }

    /// Number of endpoints listed.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether none is listed.
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
    /// When it was heard itself, or vouched for.
    fn heard_last(&self, sources: &SourceLedger) -> Instant {
        let vouched = sources.vouched(&self.source);
        vouched.map_or(self.heard, |vouched| vouched.max(self.heard))
    }

    /// Has the source that vouches for it now noted in place of the one before.
    fn account(&mut self, sources: &mut SourceLedger) {
        let part = digest_part(&self.report.incarnation());
        let source = (!self.says_silent).then(|| (self.source.clone(), part));
        if source == self.vouched_by {
            return;
        }
        self.unaccount(sources);
        if let Some((source, part)) = &source {
            sources.add(source, *part);
        }
        self.vouched_by = source;
    }

    fn unaccount(&self, sources: &mut SourceLedger) {
        if let Some((source, part)) = &self.vouched_by {
            sources.remove(source, *part);
        }
    }
}

/// Whether two reports tell entries the same.
fn is_same(known: &EndpointReport, news: &EndpointReport) -> bool {
    let warmed = (known.cold_ms > 0) == (news.cold_ms > 0);
    warmed
        && known.silent == news.silent
        && known.born_ms == news.born_ms
        && known.is_same_place(news)
        && known.slots == news.slots
}

#[cfg(test)]
#[path = "registry_table_tests.rs"]
mod tests;
