use prost::Message;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::directory_timing::MAX_SPREAD_LEASE;
use super::endpoint_detail::{age_of, age_units, from_detail, to_detail};
use super::endpoint_directory::{LeaseRenewal, TOMBSTONE};
use super::key_index::KeyIndex;
use super::transit_clock::TransitClock;
use super::usage_gatherer::{self, UsageGatherer};
use super::{
    AnnouncementOutcome, DirectoryAction, DirectoryError, DirectoryEvent, DirectorySnapshot,
    DirectoryTiming, EndpointAnnouncement, EndpointDirectory, EndpointState, LoadBucket,
    PoolTotals, Result, UsageBook, pool_totals,
};
use crate::generated::directory::{
    DirectoryMessage, EndpointDetail, LeaveNotice, PoolTotal, UsageReport,
};
use crate::membership::{ByteBudget, MemberCard, MemberView, PeerGraph, TrafficClass};
use crate::prelude::*;

/// Renewals in one message; 3.5 KB.
const MAX_RENEWALS: usize = 512;

/// Details in one message; some 10 KB.
const MAX_DETAILS: usize = 64;

/// Leaving notices in one message.
const MAX_LEAVES: usize = 64;

/// Members beyond the neighbours that get a leaving notice from the entry that
/// the endpoint told.
const EXTRA_LEAVE_TARGETS: usize = 2;

/// How long a detail that was asked for may take before it is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(300);

/// Entries that one which starts asks for all details, until one answers.
const DETAIL_REQUESTS: u32 = 2;

/// Entries asked for renewals that this one must have missed.
const LAPSING_PEERS: usize = 2;

/// With less of a lease left, random entries are asked for its renewal too: those
/// that were heard last may have missed it for the same reason.
const LAPSING_SOON: Duration = Duration::from_millis(700);

/// Most keys whose details are being asked for.
const MAX_ASKED: usize = 8_192;

/// Usual transit within a region, which no clock shows; added to ages at each
/// hop. Data centres of a region are some 1.5 ms apart.
const USUAL_TRANSIT: Duration = Duration::from_millis(20);

/// Most senders whose transit is measured; ten times the target's daemons.
const MAX_SENDERS: usize = 4_096;

/// Pause for each entry of the region between two reports of usage, so that
/// their sum stays the same.
const USAGE_PAUSE_PER_ENTRY: Duration = Duration::from_millis(300);

/// Purpose under which a region's members are ranked for telling its totals.
const TOTALS_PURPOSE: &str = "totals";

/// The directory of one entry and how it spreads, as a state machine without
/// I/O. See docs/design/directory.md.
#[derive(Debug)]
pub struct DirectoryCore {
    own: Arc<MemberCard>,
    started: Instant,
    epoch: u32,
    timing: DirectoryTiming,
    random: ChaCha8Rng,
    budget: ByteBudget,
    directory: EndpointDirectory,
    index: KeyIndex,
    view: Arc<MemberView>,
    neighbours: Vec<Arc<str>>,
    transits: FastMap<Arc<str>, TransitClock>,
    fresh_keys: FastSet<u32>,
    announced_keys: Vec<u32>,
    fresh_details: Vec<Arc<str>>,
    asked: FastMap<u32, Instant>,
    totals: PoolTotals,
    fresh_totals: BTreeSet<(Arc<str>, Arc<str>)>,
    gatherer: UsageGatherer,
    fresh_usage: Vec<UsageReport>,
    book: UsageBook,
    heard_at: Option<Instant>,
    detail_requests: u32,
    next_spread: Instant,
    next_refresh: Instant,
    next_lapsing: Instant,
    next_leavers: Instant,
    next_totals: Instant,
    next_usage: Instant,
    changed: bool,
}

impl DirectoryCore {
    /// A directory that knows nobody yet. `epoch` must grow with each start,
    /// such as the time of day in seconds.
    pub fn new(
        now: Instant,
        own: Arc<MemberCard>,
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
            gatherer: UsageGatherer::default(),
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
            self.note_applied(&endpoint);
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
            DirectoryEvent::Members(view) => self.take_members(view),
            DirectoryEvent::Used(lines) => {
                lines.into_iter().for_each(|line| self.gatherer.add(line));
            }
        }
        Ok(actions)
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<DirectoryAction>) {
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

    fn expire(&mut self, now: Instant) {
        if self.directory.expire(now, TOMBSTONE) > 0 {
            let directory = &self.directory;
            self.index.retain(|name| directory.get(name).is_some());
            self.changed = true;
        }
        self.totals.expire(now, self.timing.totals_lifetime);
        self.asked.retain(|_, asked_at| now < *asked_at + ASK_AGAIN);
    }

    fn take_members(&mut self, view: Arc<MemberView>) {
        let region = view.entries(&self.own.region);
        let neighbours = PeerGraph::neighbours(&self.own.name, region, self.timing.fan_out);
        self.neighbours = neighbours
            .iter()
            .map(|card| Arc::clone(&card.name))
            .collect();
        let live: FastSet<&Arc<str>> = view.live.iter().map(|card| &card.name).collect();
        self.transits.retain(|name, _| live.contains(name));
        self.view = view;
    }

    // -- announcements -----------------------------------------------------

    /// Hands an endpoint of another region to two entries there. An endpoint
    /// whose region nobody stands in belongs here.
    fn forward_abroad(
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

    fn note_applied(&mut self, endpoint: &str) {
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
    fn freshen(&mut self, key: u32, endpoint: &str) {
        match self.index.endpoint(key) {
            Some(_) => {
                self.fresh_keys.insert(key);
            }
            None => self.fresh_details.push(endpoint.into()),
        }
    }

    /// Tells the neighbours and some more entries at once that an endpoint
    /// leaves, so that the notice outlives this entry.
    fn push_leave_of(&mut self, now: Instant, endpoint: &str, actions: &mut Vec<DirectoryAction>) {
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
            .filter(|card| card.name != own.name)
            .collect();
        let extra = region.sample(&mut self.random, EXTRA_LEAVE_TARGETS);
        let mut targets: BTreeSet<Arc<str>> = extra.map(|card| Arc::clone(&card.name)).collect();
        targets.extend(self.neighbours.iter().cloned());
        self.push_leaves(now, vec![notice], targets, actions);
    }

    fn push_leaves(
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

    // -- spreading ---------------------------------------------------------

    /// Passes on what is new. Load goes only while the budget has plenty left,
    /// and what can't go now stays for the next turn, when it is fresher.
    fn spread(&mut self, now: Instant, actions: &mut Vec<DirectoryAction>) {
        if self.neighbours.is_empty() {
            self.fresh_keys.clear();
            self.fresh_details.clear();
            self.fresh_totals.clear();
            self.fresh_usage.clear();
            return;
        }
        let mut message = self.message(now);
        message.leaver_digest = self.leaver_digest(now);
        let mut counted = self.spread_usage(now, &mut message);
        counted += self.spread_totals(now, &mut message);
        let keys: Vec<u32> = self.fresh_keys.iter().copied().take(MAX_RENEWALS).collect();
        let with_load = self.affords(now, TrafficClass::Load, keys.len());
        counted += if with_load { keys.len() } else { 0 };
        self.add_renewals(now, &keys, with_load, &mut message);
        message.details = self.fresh_details_now(now);
        let size = message.encoded_len().saturating_sub(counted) * self.neighbours.len();
        if !self.budget.spend(now, TrafficClass::EndpointState, size) {
            return;
        }
        for key in &keys {
            self.fresh_keys.remove(key);
        }
        self.fresh_details.clear();
        let payload = Bytes::from(message.encode_to_vec());
        for neighbour in &self.neighbours {
            actions.push(DirectoryAction::Send {
                to: Arc::clone(neighbour),
                class: TrafficClass::EndpointState,
                payload: payload.clone(),
            });
        }
    }

    /// Tells what was announced here to one more entry, which is surely alive,
    /// so that it isn't stuck when both neighbours have just died.
    fn spread_announced(&mut self, now: Instant, actions: &mut Vec<DirectoryAction>) {
        let keys = std::mem::take(&mut self.announced_keys);
        let heard = self.heard_peers(now, 1);
        let others = heard.iter().find(|peer| !self.neighbours.contains(peer));
        let Some(peer) = others else {
            return;
        };
        let mut message = self.message(now);
        self.add_renewals(now, &keys, true, &mut message);
        if !message.renewal_keys.is_empty() {
            self.send(now, peer, TrafficClass::EndpointState, &message, actions);
        }
    }

    fn affords(&mut self, now: Instant, class: TrafficClass, bytes: usize) -> bool {
        let size = bytes * self.neighbours.len();
        size > 0 && self.budget.spend(now, class, size)
    }

    fn add_renewals(
        &self,
        now: Instant,
        keys: &[u32],
        with_load: bool,
        message: &mut DirectoryMessage,
    ) {
        let (mut sequences, mut ages, mut loads) = (Vec::new(), Vec::new(), Vec::new());
        for key in keys {
            let Some(record) = self
                .index
                .endpoint(*key)
                .and_then(|endpoint| self.directory.get(endpoint))
            else {
                continue;
            };
            if !record.takes_work(now) {
                continue;
            }
            let announcement = &record.announcement;
            let lease = Duration::from_millis(announcement.lease_ms.into());
            let left = record.expires.saturating_duration_since(now);
            let age = age_units(lease.saturating_sub(left));
            let Ok(age) = u8::try_from(age) else {
                continue;
            };
            message.renewal_keys.push(*key);
            sequences.push(announcement.sequence as u8);
            ages.push(age);
            loads.push(LoadBucket::of(announcement.load).byte());
        }
        message.renewal_sequences = sequences.into();
        message.renewal_ages = ages.into();
        if with_load {
            message.renewal_loads = loads.into();
        }
    }

    fn fresh_details_now(&self, now: Instant) -> Vec<EndpointDetail> {
        let records = self
            .fresh_details
            .iter()
            .filter_map(|endpoint| self.directory.get(endpoint));
        let details = records.map(|record| {
            let age = now.saturating_duration_since(record.load_at);
            to_detail(&record.announcement, age)
        });
        details.take(MAX_DETAILS).collect()
    }

    /// Adds fresh totals if the budget allows; tells their size.
    fn spread_totals(&mut self, now: Instant, message: &mut DirectoryMessage) -> usize {
        let fresh = std::mem::take(&mut self.fresh_totals);
        let totals: Vec<PoolTotal> = fresh
            .iter()
            .filter_map(|(region, pool)| self.totals.message(now, region, pool))
            .collect();
        let size: usize = totals.iter().map(Message::encoded_len).sum();
        if !self.affords(now, TrafficClass::Load, size) {
            return 0;
        }
        message.totals = totals;
        size
    }

    /// Adds fresh reports of usage if the budget allows; tells their size.
    fn spread_usage(&mut self, now: Instant, message: &mut DirectoryMessage) -> usize {
        let usage = std::mem::take(&mut self.fresh_usage);
        let size: usize = usage.iter().map(Message::encoded_len).sum();
        if !self.affords(now, TrafficClass::Usage, size) {
            return 0;
        }
        message.usage = usage;
        size
    }

    /// One entry of a region, picked by rank, tells the others' regions.
    fn tell_totals(&mut self, now: Instant, actions: &mut Vec<DirectoryAction>) {
        if now < self.next_totals {
            return;
        }
        self.next_totals = now + self.timing.totals_interval;
        let view = Arc::clone(&self.view);
        let ours = PeerGraph::ranked(TOTALS_PURPOSE, view.entries(&self.own.region));
        if ours.first().is_none_or(|first| first.name != self.own.name) {
            return;
        }
        let mut message = self.message(now);
        let records = self.directory.iter();
        message.totals = pool_totals::own_totals(now, &self.own.region, records);
        if message.totals.is_empty() {
            return;
        }
        let regions: BTreeSet<&Arc<str>> = view.live.iter().map(|card| &card.region).collect();
        for region in regions {
            if *region == self.own.region {
                continue;
            }
            let theirs = PeerGraph::ranked(TOTALS_PURPOSE, view.entries(region));
            for target in theirs.iter().take(2) {
                self.send(now, &target.name, TrafficClass::Load, &message, actions);
            }
        }
    }

    fn report_usage(&mut self, now: Instant) {
        if now < self.next_usage {
            return;
        }
        let entries = self.view.entries(&self.own.region).count();
        let pause = USAGE_PAUSE_PER_ENTRY * u32::try_from(entries.max(5)).unwrap_or(u32::MAX);
        self.next_usage = now + pause.min(self.timing.usage_interval);
        let report = self.gatherer.report(&self.own.name, self.epoch);
        self.fresh_usage.extend(report);
    }

    // -- asking ------------------------------------------------------------

    /// An entry that starts, or that has heard nobody for a while, asks one of
    /// its region for everything.
    fn ask_for_everything(&mut self, now: Instant, actions: &mut Vec<DirectoryAction>) {
        let current = self.is_current(now) && self.detail_requests == 0;
        if current || now < self.next_refresh {
            return;
        }
        let peers = self.random_peers(1);
        let Some(peer) = peers.first() else {
            return;
        };
        self.next_refresh = now + self.timing.refresh_interval;
        let mut message = self.message(now);
        message.refresh = true;
        message.refresh_details = self.detail_requests > 0;
        self.detail_requests = self.detail_requests.saturating_sub(1);
        self.send(now, peer, TrafficClass::EndpointState, &message, actions);
    }

    /// Asks others for renewals that this one must have missed.
    fn ask_for_lapsing(&mut self, now: Instant, actions: &mut Vec<DirectoryAction>) {
        if now < self.next_lapsing || !self.is_current(now) {
            return;
        }
        self.next_lapsing = now + self.timing.lapsing_interval;
        let lapsing: Vec<(Duration, u32)> = self
            .directory
            .iter()
            .filter(|record| record.takes_work(now))
            .filter_map(|record| {
                let left = record.expires.saturating_duration_since(now);
                let key = self.index.key(&record.announcement.endpoint)?;
                (left < self.timing.lapsing).then_some((left, key))
            })
            .take(MAX_RENEWALS)
            .collect();
        if lapsing.is_empty() {
            return;
        }
        let urgent = lapsing.iter().any(|(left, _)| *left < LAPSING_SOON);
        let random = if urgent { LAPSING_PEERS } else { 0 };
        let mut peers = self.random_peers(random);
        peers.extend(self.heard_peers(now, LAPSING_PEERS));
        let mut message = self.message(now);
        message.lapsing_keys = lapsing.into_iter().map(|(_, key)| key).collect();
        for peer in peers {
            self.send(now, &peer, TrafficClass::EndpointState, &message, actions);
        }
    }

    /// Entries of the region that were heard last: most likely alive, and a
    /// connection to them is open.
    fn heard_peers(&self, now: Instant, count: usize) -> Vec<Arc<str>> {
        let live = self.view.entries(&self.own.region);
        let clocks = live.filter_map(|card| Some((self.transits.get(&card.name)?, card)));
        let mut heard: Vec<_> = clocks
            .map(|(clock, card)| (clock.heard_at(), Arc::clone(&card.name)))
            .filter(|(heard_at, _)| now < *heard_at + self.timing.stale_after)
            .collect();
        heard.sort_unstable_by(|a, b| b.cmp(a));
        heard.truncate(count);
        heard.into_iter().map(|(_, name)| name).collect()
    }

    fn random_peers(&mut self, count: usize) -> Vec<Arc<str>> {
        let own = &self.own;
        let region = self.view.entries(&own.region);
        let peers: Vec<_> = region.filter(|card| card.name != own.name).collect();
        let sample = peers.sample(&mut self.random, count);
        sample.map(|card| Arc::clone(&card.name)).collect()
    }

    // -- receiving ---------------------------------------------------------

    fn receive(
        &mut self,
        now: Instant,
        from: &str,
        payload: &[u8],
        actions: &mut Vec<DirectoryAction>,
    ) -> Result<(), DirectoryError> {
        let message = DirectoryMessage::decode(payload)?;
        let count = message.renewal_keys.len();
        let loads = message.renewal_loads.len();
        if message.renewal_sequences.len() != count
            || message.renewal_ages.len() != count
            || (loads != 0 && loads != count)
        {
            return Err(DirectoryError::UnequalColumns);
        }
        let excess = self
            .excess(now, from, &message)
            .saturating_add(USUAL_TRANSIT);
        if self.is_neighbourhood(from) && excess < self.timing.stale_after {
            self.heard_at = Some(now);
        }
        self.take_leaves(now, &message, actions);
        self.take_details(now, &message, excess);
        self.take_renewals(now, from, &message, excess, actions);
        self.take_totals(now, &message, excess);
        self.take_usage(now, message.usage.as_slice(), actions);
        self.answer(now, from, &message, actions);
        Ok(())
    }

    fn excess(&mut self, now: Instant, from: &str, message: &DirectoryMessage) -> Duration {
        let sent_ms = i64::try_from(message.sent_ms).unwrap_or(i64::MAX);
        let difference = self.clock_ms(now).saturating_sub(sent_ms);
        if let Some(clock) = self.transits.get_mut(from) {
            return clock.excess(now, message.epoch, difference);
        }
        if self.transits.len() < MAX_SENDERS {
            let clock = TransitClock::new(now, message.epoch, difference);
            self.transits.insert(from.into(), clock);
        }
        Duration::ZERO
    }

    fn clock_ms(&self, now: Instant) -> i64 {
        let elapsed = now.saturating_duration_since(self.started);
        i64::try_from(elapsed.as_millis()).unwrap_or(i64::MAX)
    }

    fn is_neighbourhood(&self, from: &str) -> bool {
        let mut region = self.view.entries(&self.own.region);
        region.any(|card| *card.name == *from)
    }

    fn take_leaves(
        &mut self,
        now: Instant,
        message: &DirectoryMessage,
        actions: &mut Vec<DirectoryAction>,
    ) {
        let mut news = Vec::new();
        for notice in &message.leaves {
            let (incarnation, sequence) = (notice.incarnation, notice.sequence);
            let directory = &mut self.directory;
            if directory.leave(now, &notice.endpoint, incarnation, sequence) {
                news.push(notice.clone());
            }
        }
        if news.is_empty() {
            return;
        }
        actions.push(DirectoryAction::Publish);
        let targets: BTreeSet<Arc<str>> = self.neighbours.iter().cloned().collect();
        for part in news.chunks(MAX_LEAVES) {
            self.push_leaves(now, part.to_vec(), targets.clone(), actions);
        }
    }

    fn take_details(&mut self, now: Instant, message: &DirectoryMessage, excess: Duration) {
        if !message.details.is_empty() {
            self.detail_requests = 0;
        }
        for detail in &message.details {
            let age = age_of(detail.age).saturating_add(excess);
            let Some(announced_at) = now.checked_sub(age) else {
                continue;
            };
            let Some(announcement) = from_detail(detail.clone()) else {
                continue;
            };
            let endpoint = announcement.endpoint.clone();
            let outcome =
                self.directory
                    .announce_since(now, announced_at, announcement, MAX_SPREAD_LEASE);
            if matches!(outcome, Ok(AnnouncementOutcome::Applied)) {
                self.note_applied(&endpoint);
                self.changed = true;
            }
        }
    }

    fn take_renewals(
        &mut self,
        now: Instant,
        from: &str,
        message: &DirectoryMessage,
        excess: Duration,
        actions: &mut Vec<DirectoryAction>,
    ) {
        let mut wanted = Vec::new();
        for (position, key) in message.renewal_keys.iter().enumerate() {
            let age = age_of(message.renewal_ages[position].into()).saturating_add(excess);
            let Some(renewed_at) = now.checked_sub(age) else {
                continue;
            };
            if !self.index.knows(*key) {
                if age < MAX_SPREAD_LEASE && self.asks_for(now, *key) {
                    wanted.push(*key);
                }
                continue;
            }
            let load = message.renewal_loads.get(position);
            let load = load.map(|byte| LoadBucket::from_byte(*byte));
            self.renew(
                now,
                *key,
                message.renewal_sequences[position],
                renewed_at,
                load,
            );
        }
        for part in wanted.chunks(MAX_DETAILS) {
            let mut request = self.message(now);
            request.wanted_keys = part.to_vec();
            self.send(now, from, TrafficClass::EndpointState, &request, actions);
        }
    }

    fn renew(
        &mut self,
        now: Instant,
        key: u32,
        low_sequence: u8,
        renewed_at: Instant,
        load: Option<LoadBucket>,
    ) {
        let Some(endpoint) = self.index.endpoint(key).cloned() else {
            return;
        };
        let Some(record) = self.directory.get(&endpoint) else {
            return;
        };
        // Serial number arithmetic (RFC 1982) on the low byte.
        let known = record.announcement.sequence;
        let step = low_sequence.wrapping_sub(known as u8) as i8;
        let Ok(step @ 1..) = u64::try_from(step) else {
            return;
        };
        let renewal = LeaseRenewal {
            renewed_at,
            sequence: known.saturating_add(step),
            load: load.map(LoadBucket::load),
        };
        if self.directory.renew(now, &endpoint, renewal) {
            self.fresh_keys.insert(key);
            self.changed = true;
        }
    }

    fn asks_for(&mut self, now: Instant, key: u32) -> bool {
        let recent = self.asked.get(&key);
        if recent.is_some_and(|asked_at| now < *asked_at + ASK_AGAIN) {
            return false;
        }
        let room = self.asked.len() < MAX_ASKED;
        if room {
            self.asked.insert(key, now);
        }
        room
    }

    fn take_totals(&mut self, now: Instant, message: &DirectoryMessage, excess: Duration) {
        for total in &message.totals {
            let foreign = *total.region != *self.own.region;
            if foreign && self.totals.take(now, total, excess) {
                let pair = (total.region.as_str().into(), total.pool.as_str().into());
                self.fresh_totals.insert(pair);
            }
        }
    }

    fn take_usage(
        &mut self,
        now: Instant,
        reports: &[UsageReport],
        actions: &mut Vec<DirectoryAction>,
    ) {
        for report in reports {
            if *report.entry == *self.own.name || !self.gatherer.hear(report) {
                continue;
            }
            let lines = usage_gatherer::lines(report);
            lines.iter().for_each(|line| self.book.add(now, line));
            self.fresh_usage.push(report.clone());
            actions.push(DirectoryAction::Used(lines));
        }
    }

    // -- answering ---------------------------------------------------------

    fn answer(
        &mut self,
        now: Instant,
        from: &str,
        message: &DirectoryMessage,
        actions: &mut Vec<DirectoryAction>,
    ) {
        if !message.wanted_keys.is_empty() {
            self.answer_wanted(now, from, &message.wanted_keys, actions);
        }
        if !message.lapsing_keys.is_empty() {
            self.answer_renewals(now, from, &message.lapsing_keys, actions);
        }
        if message.refresh {
            self.answer_refresh(now, from, message.refresh_details, actions);
        }
        let differs = message.leaver_digest != self.leaver_digest(now);
        let carries_digest = message.leaver_digest != 0 || !message.renewal_keys.is_empty();
        if differs && carries_digest && now >= self.next_leavers {
            self.next_leavers = now + self.timing.refresh_interval;
            self.answer_leavers(now, from, actions);
        }
    }

    fn answer_wanted(
        &mut self,
        now: Instant,
        from: &str,
        keys: &[u32],
        actions: &mut Vec<DirectoryAction>,
    ) {
        let endpoints: Vec<Arc<str>> = keys
            .iter()
            .flat_map(|key| self.index.endpoints(*key).iter().cloned())
            .collect();
        self.answer_details(now, from, &endpoints, actions);
    }

    fn answer_details(
        &mut self,
        now: Instant,
        from: &str,
        endpoints: &[Arc<str>],
        actions: &mut Vec<DirectoryAction>,
    ) {
        let records = endpoints.iter().filter_map(|name| self.directory.get(name));
        let serving = records.filter(|record| record.takes_work(now));
        let details: Vec<EndpointDetail> = serving
            .map(|record| {
                let lease = Duration::from_millis(record.announcement.lease_ms.into());
                let left = record.expires.saturating_duration_since(now);
                to_detail(&record.announcement, lease.saturating_sub(left))
            })
            .collect();
        for part in details.chunks(MAX_DETAILS) {
            let mut answer = self.message(now);
            answer.details = part.to_vec();
            self.send(now, from, TrafficClass::EndpointState, &answer, actions);
        }
    }

    fn answer_renewals(
        &mut self,
        now: Instant,
        from: &str,
        keys: &[u32],
        actions: &mut Vec<DirectoryAction>,
    ) {
        for part in keys.chunks(MAX_RENEWALS) {
            let mut answer = self.message(now);
            self.add_renewals(now, part, true, &mut answer);
            if !answer.renewal_keys.is_empty() {
                self.send(now, from, TrafficClass::EndpointState, &answer, actions);
            }
        }
    }

    fn answer_refresh(
        &mut self,
        now: Instant,
        from: &str,
        with_details: bool,
        actions: &mut Vec<DirectoryAction>,
    ) {
        let records = self.directory.iter();
        let names: Vec<Arc<str>> = records
            .map(|record| record.announcement.endpoint.as_str().into())
            .collect();
        if with_details {
            self.answer_details(now, from, &names, actions);
        } else {
            let keys = names.iter().filter_map(|name| self.index.key(name));
            let keys: Vec<u32> = keys.collect();
            self.answer_renewals(now, from, &keys, actions);
        }
        let mut rest = self.message(now);
        rest.totals = self
            .totals
            .pairs()
            .filter_map(|(region, pool)| self.totals.message(now, region, pool))
            .collect();
        self.send(now, from, TrafficClass::EndpointState, &rest, actions);
        self.answer_leavers(now, from, actions);
    }

    fn answer_leavers(&mut self, now: Instant, from: &str, actions: &mut Vec<DirectoryAction>) {
        let notices: Vec<LeaveNotice> = self
            .directory
            .leavers(now)
            .map(|(endpoint, incarnation, sequence)| LeaveNotice {
                endpoint: endpoint.to_string(),
                incarnation,
                sequence,
            })
            .collect();
        for part in notices.chunks(MAX_LEAVES) {
            let mut answer = self.message(now);
            answer.leaves = part.to_vec();
            self.send(now, from, TrafficClass::Leave, &answer, actions);
        }
    }

    fn leaver_digest(&self, now: Instant) -> u32 {
        let leavers = self.directory.leavers(now);
        leavers.fold(0, |digest, (endpoint, incarnation, _)| {
            let name = crc32c::crc32c(endpoint.as_bytes());
            digest ^ crc32c::crc32c_append(name, &incarnation.to_le_bytes())
        })
    }

    fn message(&self, now: Instant) -> DirectoryMessage {
        DirectoryMessage {
            epoch: self.epoch,
            sent_ms: u64::try_from(self.clock_ms(now)).unwrap_or(0),
            ..DirectoryMessage::default()
        }
    }

    fn send(
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
