use super::{BootTime, EndpointIncarnation, EndpointLife, EndpointReport, FollowCall, FollowReply};
use crate::evacuation::EvacuationView;
use crate::prelude::*;
use crate::quarantine::RequestDigest;
use crate::transport::PeerName;

/// How long an endpoint that a control daemon does not list stays known: a
/// daemon that was just started hears of all endpoints within this time.
const UNLISTED_TIME: Duration = Duration::from_secs(6);

/// An endpoint as an entry knows it from control.
#[derive(Clone, Debug)]
pub struct KnownEndpoint {
    /// What it last said of itself.
    pub report: EndpointReport,
    /// Since when the daemon that is asked does not list it.
    pub unlisted: Option<BootTime>,
    /// When this entry first heard of it.
    pub joined: Instant,
    /// Ends when the endpoint has started again.
    pub life: EndpointLife,
}

impl KnownEndpoint {
    /// Takes a report that is not of a later incarnation; true when it is news.
    /// A daemon that lags may pass on an older one: that says nothing new of
    /// the endpoint, but does say whether that daemon still hears of it.
    fn take(&mut self, report: EndpointReport) -> bool {
        if report.born_ms < self.report.born_ms {
            return false;
        }
        self.unlisted = None;
        let taken = match report.sequence < self.report.sequence {
            true => EndpointReport {
                silent: report.silent,
                ..self.report.clone()
            },
            false => report,
        };
        let is_news = self.report != taken;
        self.report = taken;
        is_news
    }
}

/// What a majority has confirmed: that no document after this one was committed
/// by then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// Number of the newest document; 0 for none.
    pub document_number: u64,
    /// The moment.
    pub at: BootTime,
}

/// What a reply brought that the request path must learn of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FollowNews {
    /// A newer document is in force.
    pub document: bool,
    /// Endpoints came, changed or were retired.
    pub endpoints: bool,
    /// Entries came or went.
    pub entries: bool,
    /// Requests came into quarantine or left it.
    pub quarantine: bool,
    /// Evacuations began or ended.
    pub evacuations: bool,
}

/// What an entry knows from control, as a state machine without I/O.
#[derive(Clone, Debug, Default)]
pub struct FollowState {
    document_number: u64,
    document: Bytes,
    retired_total: u64,
    table_epoch: u64,
    table_revision: u64,
    confirmation: Option<Confirmation>,
    entries: Vec<PeerName>,
    entries_digest: u64,
    endpoints: BTreeMap<String, KnownEndpoint>,
    /// Birth of the latest incarnation that was retired, by endpoint.
    retired: FastMap<String, u64>,
    quarantine_revision: u64,
    quarantine: Arc<BTreeSet<RequestDigest>>,
    evacuations: EvacuationView,
}

impl FollowState {
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
            quarantine_revision: self.quarantine_revision,
            evacuation_revision: self.evacuations.revision(),
        }
    }

    /// Takes the answer to a call that was sent at `sent` and arrived by `now`.
    ///
    /// Nothing goes back: a daemon that lags can't replace a document or bring
    /// a retired endpoint back. Only a confirmed answer proves how new the
    /// knowledge is, namely as of the start of the majority's round.
    pub fn take(&mut self, sent: BootTime, now: BootTime, reply: FollowReply) -> FollowNews {
        let mut news = FollowNews::default();
        if reply.document_number > self.document_number {
            self.document_number = reply.document_number;
            self.document = reply.document;
            news.document = true;
        }
        if reply.retired_total > self.retired_total {
            self.retired_total = reply.retired_total;
            for incarnation in reply.retired {
                news.endpoints |= self.retire(incarnation);
            }
        }
        if reply.whole {
            self.unlist(now);
        }
        self.table_epoch = reply.table_epoch;
        self.table_revision = reply.table_revision;
        for report in reply.reports {
            news.endpoints |= self.take_report(report);
        }
        news.endpoints |= self.forget(now);
        if reply.entries_digest != self.entries_digest {
            self.entries_digest = reply.entries_digest;
            let entries = reply.entries.iter();
            self.entries = entries
                .filter_map(|name| PeerName::new(name).ok())
                .collect();
            news.entries = true;
        }
        if reply.quarantine_revision > self.quarantine_revision {
            self.quarantine_revision = reply.quarantine_revision;
            let digests = RequestDigest::read_all(&reply.quarantined);
            self.quarantine = Arc::new(digests.collect());
            news.quarantine = true;
        }
        news.evacuations = self.evacuations.take(
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
        news
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
        if is_known {
            self.endpoints.remove(&endpoint);
        }
        let retired = self.retired.entry(endpoint).or_default();
        *retired = born_ms.max(*retired);
        is_known
    }

    fn take_report(&mut self, report: EndpointReport) -> bool {
        let retired = self.retired.get(&report.id);
        if retired.is_some_and(|born_ms| report.born_ms <= *born_ms) {
            return false;
        }
        if let Some(known) = self.endpoints.get_mut(&report.id)
            && report.born_ms <= known.report.born_ms
        {
            return known.take(report);
        }
        let known = KnownEndpoint {
            joined: Instant::now(),
            unlisted: None,
            report,
            life: EndpointLife::default(),
        };
        let before = self.endpoints.insert(known.report.id.clone(), known);
        if let Some(before) = before {
            log_event!(
                info,
                "endpoint_replaced",
                endpoint = before.report.incarnation(),
                pool = before.report.pool
            );
            before.life.end();
        }
        true
    }

    /// Another daemon's table begins: what it does not list is kept a while.
    fn unlist(&mut self, now: BootTime) {
        for known in self.endpoints.values_mut() {
            known.unlisted.get_or_insert(now);
        }
    }

    fn forget(&mut self, now: BootTime) -> bool {
        let before = self.endpoints.len();
        self.endpoints.retain(|_, known| {
            known
                .unlisted
                .is_none_or(|since| now.since(since) < UNLISTED_TIME)
        });
        self.endpoints.len() != before
    }

    /// Number of the document in force here; 0 for none.
    pub fn document_number(&self) -> u64 {
        self.document_number
    }

    /// That document.
    pub fn document(&self) -> &Bytes {
        &self.document
    }

    /// The endpoints that may get new work.
    pub fn endpoints(&self) -> impl Iterator<Item = &KnownEndpoint> {
        self.endpoints.values()
    }

    /// What was confirmed last; `None` before the first word.
    pub fn confirmation(&self) -> Option<Confirmation> {
        self.confirmation
    }

    /// As of when nothing newer was committed; `None` before the first word.
    pub fn confirmed_at(&self) -> Option<BootTime> {
        self.confirmation.map(|confirmation| confirmation.at)
    }

    /// Revision of the quarantine; 0 for none.
    pub fn quarantine_revision(&self) -> u64 {
        self.quarantine_revision
    }

    /// Requests that no endpoint gets.
    pub fn quarantine(&self) -> &Arc<BTreeSet<RequestDigest>> {
        &self.quarantine
    }

    /// Data centres whose endpoints get no new work.
    pub fn evacuations(&self) -> &EvacuationView {
        &self.evacuations
    }

    /// Entries that follow control, as far as known, sorted by name.
    pub fn entries(&self) -> &[PeerName] {
        &self.entries
    }
}

#[cfg(test)]
#[path = "follow_state_tests.rs"]
mod tests;
