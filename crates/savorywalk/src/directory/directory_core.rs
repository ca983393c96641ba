use prost::Message;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::directory_timing::MAX_SPREAD_LEASE;
use super::endpoint_detail::to_detail;
use super::endpoint_directory::TOMBSTONE;
use super::key_index::KeyIndex;
use super::transit_clock::TransitClock;
use super::usage_collector::UsageCollector;
use super::{
    AnnouncementOutcome, DirectoryAction, DirectoryError, DirectoryEvent, DirectorySnapshot,
    DirectoryTiming, EndpointAnnouncement, EndpointDirectory, EndpointState, PoolTotals, Result,
    UsageBook,
};
use crate::generated::directory::{DirectoryMessage, LeaveNotice, UsageReport};
use crate::membership::{ByteBudget, MemberIdentity, MemberView, PeerGraph, TrafficClass};
use crate::prelude::*;

/// Renewals in one message; 3.5 KB.
pub(super) const MAX_RENEWALS: usize = 512;

/// Details in one message; some 10 KB.
pub(super) const MAX_DETAILS: usize = 64;

/// Leaving notices in one message.
pub(super) const MAX_LEAVES: usize = 64;

/// Members beyond the neighbours that get a leaving notice from the entry that
/// the endpoint told.
const EXTRA_LEAVE_TARGETS: usize = 2;

/// How long a detail that was asked for may take before it is asked again.
pub(super) const ASK_AGAIN: Duration = Duration::from_millis(300);

/// Entries that one which starts asks for all details, until one answers.
const DETAIL_REQUESTS: u32 = 2;

/// The directory of one entry and how it spreads, as a state machine without
/// I/O. See docs/design/directory.md.
#[derive(Debug)]
pub struct DirectoryCore {
    pub(super) own: Arc<MemberIdentity>,
    pub(super) started: Instant,
    pub(super) epoch: u32,
    pub(super) timing: DirectoryTiming,
    pub(super) random: ChaCha8Rng,
    pub(super) budget: ByteBudget,
    pub(super) directory: EndpointDirectory,
    pub(super) index: KeyIndex,
    pub(super) view: Arc<MemberView>,
    pub(super) neighbours: Vec<Arc<str>>,
    pub(super) transits: FastMap<Arc<str>, TransitClock>,
    pub(super) fresh_keys: FastSet<u32>,
    pub(super) announced_keys: Vec<u32>,
    pub(super) fresh_details: Vec<Arc<str>>,
    pub(super) asked: FastMap<u32, Instant>,
    pub(super) totals: PoolTotals,
    pub(super) fresh_totals: BTreeSet<(Arc<str>, Arc<str>)>,
    pub(super) collector: UsageCollector,
    pub(super) fresh_usage: Vec<UsageReport>,
    pub(super) book: UsageBook,
    pub(super) heard_at: Option<Instant>,
    pub(super) detail_requests: u32,
    pub(super) next_spread: Instant,
    pub(super) next_refresh: Instant,
    pub(super) next_lapsing: Instant,
    pub(super) next_leavers: Instant,
    pub(super) next_totals: Instant,
    pub(super) next_usage: Instant,
    pub(super) changed: bool,
}

impl DirectoryCore {
    /// A directory that knows nobody yet. `epoch` must grow with each start,
    /// such as the time of day in seconds.
    pub fn new(
        now: Instant,
        own: Arc<MemberIdentity>,
        epoch: u32,
        timing: DirectoryTiming,
        seed: u64,
    ) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut stagger = |interval: Duration| now + interval.mul_f64(random.random());
        Self {
            next_spread: stagger(timing.spread_interval),
            next_totals: stagger(timing.totals_interval),
            next_usage: stagger(timing.usage_interval),
            next_refresh: now,
            next_lapsing: now,
            next_leavers: now,
            budget: ByteBudget::new(now, timing.bytes_per_second, timing.burst_bytes),
            own,
            started: now,
            epoch,
            timing,
            random,
            directory: EndpointDirectory::default(),
            index: KeyIndex::default(),
            view: Arc::new(MemberView::default()),
            neighbours: Vec::new(),
            transits: FastMap::default(),
            fresh_keys: FastSet::default(),
            announced_keys: Vec::new(),
            fresh_details: Vec::new(),
            asked: FastMap::default(),
            totals: PoolTotals::default(),
            fresh_totals: BTreeSet::new(),
            collector: UsageCollector::default(),
            fresh_usage: Vec::new(),
            book: UsageBook::default(),
            heard_at: None,
            detail_requests: DETAIL_REQUESTS,
            changed: false,
        }
    }

    /// The endpoints that are listed.
    pub fn directory(&self) -> &EndpointDirectory {
        &self.directory
    }

    /// The view that the request path reads.
    pub fn snapshot(&self) -> DirectorySnapshot {
        self.directory.snapshot()
    }

    /// Totals of other regions' pools.
    pub fn totals(&self) -> &PoolTotals {
        &self.totals
    }

    /// What other entries gave to workspaces lately.
    pub fn usage(&self) -> &UsageBook {
        &self.book
    }

    /// Bytes sent by class.
    pub fn budget(&self) -> &ByteBudget {
        &self.budget
    }

    /// Whether the others of the region were heard lately; without others this
    /// entry's view is all there is.
    pub fn is_current(&self, now: Instant) -> bool {
        let heard = self.heard_at;
        self.neighbours.is_empty() || heard.is_some_and(|at| now < at + self.timing.stale_after)
    }

    /// Takes an announcement that an endpoint made to this entry.
    pub fn announce(
        &mut self,
        now: Instant,
        mut announcement: EndpointAnnouncement,
        max_lease: Duration,
    ) -> Result<(AnnouncementOutcome, Vec<DirectoryAction>)> {
        let mut actions = Vec::new();
        let max_lease = max_lease.min(MAX_SPREAD_LEASE);
        let max_lease_ms = u32::try_from(max_lease.as_millis()).unwrap_or(u32::MAX);
        announcement.lease_ms = announcement.lease_ms.min(max_lease_ms);
        if self.forward_abroad(now, &announcement, &mut actions) {
            return Ok((AnnouncementOutcome::Applied, actions));
        }
        let endpoint = announcement.endpoint.clone();
        let known = self.directory.get(&endpoint);
        let was_leaving = known.is_some_and(|known| {
            known.announcement.state == EndpointState::Leaving
                && known.announcement.incarnation == announcement.incarnation
        });
        let outcome = self.directory.announce(now, announcement, max_lease)?;
        if outcome == AnnouncementOutcome::Applied {
            self.record_applied(&endpoint);
            self.announced_keys.extend(self.index.key(&endpoint));
            actions.push(DirectoryAction::Publish);
            if !was_leaving {
                self.push_leave_of(now, &endpoint, &mut actions);
            }
        }
        Ok((outcome, actions))
    }

    /// Takes any other event and tells what to do.
    pub fn handle(
        &mut self,
        now: Instant,
        event: DirectoryEvent<'_>,
    ) -> Result<Vec<DirectoryAction>, DirectoryError> {
        let mut actions = Vec::new();
        match event {
            DirectoryEvent::Tick => self.tick(now, &mut actions),
            DirectoryEvent::Received { from, payload } => {
                self.receive(now, from, payload, &mut actions)?;
            }
            DirectoryEvent::Members(view) => self.update_members(view),
            DirectoryEvent::Used(lines) => {
                lines.into_iter().for_each(|line| self.collector.add(line));
            }
        }
        Ok(actions)
    }

    pub(super) fn tick(&mut self, now: Instant, actions: &mut Vec<DirectoryAction>) {
        self.expire(now);
        self.ask_for_everything(now, actions);
        self.ask_for_lapsing(now, actions);
        self.tell_totals(now, actions);
        self.report_usage(now);
        if now >= self.next_spread {
            self.next_spread = now + self.timing.spread_interval;
            self.spread_announced(now, actions);
            self.spread(now, actions);
        }
        if std::mem::take(&mut self.changed) {
            actions.push(DirectoryAction::Publish);
        }
    }

    pub(super) fn expire(&mut self, now: Instant) {
        if self.directory.expire(now, TOMBSTONE) > 0 {
            let directory = &self.directory;
            self.index.retain(|name| directory.get(name).is_some());
            self.changed = true;
        }
        self.totals.expire(now, self.timing.totals_lifetime);
        self.asked.retain(|_, asked_at| now < *asked_at + ASK_AGAIN);
    }

    pub(super) fn update_members(&mut self, view: Arc<MemberView>) {
        let region = view.entries(&self.own.region);
        let neighbours = PeerGraph::neighbours(&self.own.name, region, self.timing.fan_out);
        self.neighbours = neighbours
            .iter()
            .map(|identity| Arc::clone(&identity.name))
            .collect();
        let live: FastSet<&Arc<str>> = view.live.iter().map(|identity| &identity.name).collect();
        self.transits.retain(|name, _| live.contains(name));
        self.view = view;
    }

    // -- announcements

    /// Hands an endpoint of another region to two entries there. An endpoint
    /// whose region nobody stands in belongs here.
    pub(super) fn forward_abroad(
        &mut self,
        now: Instant,
        announcement: &EndpointAnnouncement,
        actions: &mut Vec<DirectoryAction>,
    ) -> bool {
        let Some(region) = self.view.regions.get(&*announcement.data_center) else {
            return false;
        };
        if *region == self.own.region {
            return false;
        }
        let entries = PeerGraph::ranked(&announcement.endpoint, self.view.entries(region));
        let mut message = self.message(now);
        match announcement.state {
            EndpointState::Serving => message
                .details
                .push(to_detail(announcement, Duration::ZERO)),
            EndpointState::Leaving => message.leaves.push(LeaveNotice {
                endpoint: announcement.endpoint.clone(),
                incarnation: announcement.incarnation,
                sequence: announcement.sequence,
            }),
        }
        for entry in entries.iter().take(2) {
            actions.push(send(&entry.name, TrafficClass::EndpointState, &message));
        }
        !entries.is_empty()
    }

    pub(super) fn record_applied(&mut self, endpoint: &str) {
        let Some(record) = self.directory.get(endpoint) else {
            return;
        };
        let key = self.index.set(&record.announcement);
        self.asked.remove(&key);
        if record.announcement.state == EndpointState::Serving {
            self.freshen(key, endpoint);
        }
    }

    /// Puts an endpoint among what goes out next: by its key, or in full when
    /// its key isn't its own.
    pub(super) fn freshen(&mut self, key: u32, endpoint: &str) {
        match self.index.endpoint(key) {
            Some(_) => {
                self.fresh_keys.insert(key);
            }
            None => self.fresh_details.push(endpoint.into()),
        }
    }

    /// Tells the neighbours and some more entries at once that an endpoint
    /// leaves, so that the notice outlives this entry.
    pub(super) fn push_leave_of(
        &mut self,
        now: Instant,
        endpoint: &str,
        actions: &mut Vec<DirectoryAction>,
    ) {
        let Some(record) = self.directory.get(endpoint) else {
            return;
        };
        if record.announcement.state != EndpointState::Leaving {
            return;
        }
        let notice = LeaveNotice {
            endpoint: endpoint.to_string(),
            incarnation: record.announcement.incarnation,
            sequence: record.announcement.sequence,
        };
        let own = &self.own;
        let region: Vec<_> = self
            .view
            .region(&own.region)
            .filter(|identity| identity.name != own.name)
            .collect();
        let extra = region.sample(&mut self.random, EXTRA_LEAVE_TARGETS);
        let mut targets: BTreeSet<Arc<str>> =
            extra.map(|identity| Arc::clone(&identity.name)).collect();
        targets.extend(self.neighbours.iter().cloned());
        self.push_leaves(now, vec![notice], targets, actions);
    }

    pub(super) fn push_leaves(
        &mut self,
        now: Instant,
        leaves: Vec<LeaveNotice>,
        targets: BTreeSet<Arc<str>>,
        actions: &mut Vec<DirectoryAction>,
    ) {
        let mut message = self.message(now);
        message.leaves = leaves;
        for target in targets {
            self.send(now, &target, TrafficClass::Leave, &message, actions);
        }
    }

    pub(super) fn clock_ms(&self, now: Instant) -> i64 {
        let elapsed = now.saturating_duration_since(self.started);
        i64::try_from(elapsed.as_millis()).unwrap_or(i64::MAX)
    }

    pub(super) fn message(&self, now: Instant) -> DirectoryMessage {
        DirectoryMessage {
            epoch: self.epoch,
            sent_ms: u64::try_from(self.clock_ms(now)).unwrap_or(0),
            ..DirectoryMessage::default()
        }
    }

    pub(super) fn send(
        &mut self,
        now: Instant,
        to: &str,
        class: TrafficClass,
        message: &DirectoryMessage,
        actions: &mut Vec<DirectoryAction>,
    ) {
        let action = send(to, class, message);
        if self.budget.spend(now, class, message.encoded_len()) {
            actions.push(action);
        }
    }
}

fn send(to: &str, class: TrafficClass, message: &DirectoryMessage) -> DirectoryAction {
    DirectoryAction::Send {
        to: to.into(),
        class,
        payload: message.encode_to_vec().into(),
    }
}

#[cfg(test)]
#[path = "directory_core_tests.rs"]
mod tests;
