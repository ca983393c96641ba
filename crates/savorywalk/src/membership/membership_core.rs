use prost::Message;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::member_table::{BUCKETS, CompareScope};
use super::probe_monitor::{MonitorStep, ProbeMonitor};
use super::region_bridge::RegionBridge;
use super::update_queue::UpdateQueue;
use super::{
    Member, MemberCard, MemberState, MemberTable, MemberView, MembershipAction, MembershipError,
    MembershipEvent, MembershipTiming, PeerGraph, Result,
};
use crate::generated::membership::{MemberRecord, MembershipMessage};
use crate::prelude::*;

/// Most pieces of news in one message; at some 60 bytes each they keep it
/// within one packet.
const MAX_NEWS: usize = 8;

/// Most records in one message that answers a comparison; some 8 KB.
const MAX_RECORDS: usize = 128;

/// Members asked to probe in this one's place.
const INDIRECT_PROBES: usize = 2;

/// Members of a region that link it to each other region.
const BRIDGES: usize = 2;

/// Most probes that this member carries out for others at once.
const MAX_RELAYED: usize = 64;

/// The membership of one daemon as a state machine without I/O.
///
/// After SWIM (Das, Gupta, Motivala 2002): probes, indirect probes, suspicion
/// that its subject can refute by a higher incarnation, and news that ride on
/// probes. What differs, and why, is in docs/design/membership.md: a member
/// probes the same few neighbours of a [`PeerGraph`] instead of random ones,
/// and only bridges talk across regions.
#[derive(Debug)]
pub struct MembershipCore {
    own: Arc<MemberCard>,
    seeds: Vec<Arc<str>>,
    timing: MembershipTiming,
    random: ChaCha8Rng,
    table: MemberTable,
    monitors: Vec<ProbeMonitor>,
    bridges: Vec<RegionBridge>,
    queue: UpdateQueue,
    relayed: VecDeque<RelayedProbe>,
    suspects: BTreeMap<Arc<str>, Instant>,
    next_number: u32,
    next_join: Instant,
    settled: Instant,
    next_dead_probe: Instant,
    next_sync: Instant,
    rewire: bool,
    fresh_news: bool,
}

/// A probe carried out for another member.
#[derive(Debug)]
struct RelayedProbe {
    own_number: u32,
    number: u32,
    asker: Arc<str>,
}

impl MembershipCore {
    /// A daemon that has just started.
    ///
    /// `incarnation` must be higher than at its last start, such as the time
    /// of day in milliseconds; when it is not, the others' memory of the last
    /// one corrects it.
    pub fn new(
        now: Instant,
        own: MemberCard,
        incarnation: u64,
        seeds: Vec<Arc<str>>,
        timing: MembershipTiming,
        seed: u64,
    ) -> Self {
        let own = Arc::new(own);
        let mut table = MemberTable::default();
        table.put(Member {
            card: Arc::clone(&own),
            incarnation,
            state: MemberState::Alive,
            since: now,
        });
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let stagger = timing.dead_interval.mul_f64(random.random());
        Self {
            seeds: seeds.into_iter().filter(|seed| *seed != own.name).collect(),
            own,
            timing,
            random,
            table,
            monitors: Vec::new(),
            bridges: Vec::new(),
            queue: UpdateQueue::default(),
            relayed: VecDeque::new(),
            suspects: BTreeMap::new(),
            next_number: 1,
            next_join: now,
            settled: now + timing.join_time,
            next_dead_probe: now + stagger,
            next_sync: now,
            rewire: true,
            fresh_news: false,
        }
    }

    /// Who this daemon is.
    pub fn own(&self) -> &Arc<MemberCard> {
        &self.own
    }

    /// Everyone that is known.
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// The view for the rest of the process.
    pub fn view(&self) -> MemberView {
        MemberView::of(self.table.iter())
    }

    /// Takes one event and tells what to do.
    pub fn handle(
        &mut self,
        now: Instant,
        event: MembershipEvent<'_>,
    ) -> Result<Vec<MembershipAction>> {
        let mut actions = Vec::new();
        match event {
            MembershipEvent::Tick => self.tick(now, &mut actions),
            MembershipEvent::Received { from, payload } => {
                self.receive(now, from, payload, &mut actions)?;
            }
            MembershipEvent::Leave => self.leave(now, &mut actions),
        }
        Ok(actions)
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        if self.has_left() {
            return;
        }
        self.end_suspicions(now, actions);
        self.table.forget(now, self.timing.memory);
        if self.rewire {
            self.rewire(now);
        }
        self.tell_fresh_news(actions);
        self.probe_neighbours(now, actions);
        self.probe_regions(now, actions);
        self.probe_dead(now, actions);
        self.join(now, actions);
    }

    // -- neighbours --------------------------------------------------------

    /// Takes the neighbours of the current view, and keeps what is known of
    /// those that stay.
    fn rewire(&mut self, now: Instant) {
        self.rewire = false;
        let view = self.view();
        let region = view.region(&self.own.region);
        let neighbours = PeerGraph::neighbours(&self.own.name, region, self.timing.fan_out);
        let mut before = std::mem::take(&mut self.monitors);
        for card in neighbours {
            let known = before.iter().position(|monitor| *monitor.card() == card);
            let monitor = match known {
                Some(index) => before.swap_remove(index),
                None => ProbeMonitor::new(card, self.soon(now)),
            };
            self.monitors.push(monitor);
        }
        self.rewire_bridges(now, &view);
    }

    fn rewire_bridges(&mut self, now: Instant, view: &MemberView) {
        let regions: BTreeSet<&Arc<str>> = view.live.iter().map(|card| &card.region).collect();
        let mut before = std::mem::take(&mut self.bridges);
        for region in regions {
            if *region == self.own.region {
                continue;
            }
            let ours = PeerGraph::ranked(region, view.region(&self.own.region));
            let rank = ours.iter().position(|card| *card == self.own);
            let Some(rank) = rank.filter(|rank| *rank < BRIDGES) else {
                continue;
            };
            let known = before.iter().position(|bridge| bridge.region == *region);
            let failed = known.map_or(0, |index| before[index].failed());
            let Some(target) = bridge_target(view, &self.own.region, region, rank + failed) else {
                continue;
            };
            let bridge = match known.map(|index| before.swap_remove(index)) {
                Some(bridge) if *bridge.monitor.card() == target => bridge,
                Some(mut bridge) => {
                    bridge.monitor = ProbeMonitor::new(target, now);
                    bridge
                }
                None => {
                    let monitor = ProbeMonitor::new(target, self.soon(now));
                    RegionBridge::new(Arc::clone(region), monitor)
                }
            };
            self.bridges.push(bridge);
        }
    }

    fn probe_neighbours(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        let mut monitors = std::mem::take(&mut self.monitors);
        for monitor in &mut monitors {
            let number = self.number();
            let step = monitor.step(now, self.timing.probe_interval, &self.timing, number);
            let card = monitor.card();
            match step {
                MonitorStep::Wait => {}
                MonitorStep::Probe(number) => self.probe(card, number, actions),
                MonitorStep::ProbeIndirectly(number) => {
                    self.probe(card, number, actions);
                    self.probe_through_others(card, number, actions);
                }
            }
            if monitor.is_missing(&self.timing) {
                self.suspect(now, card, actions);
            }
        }
        self.monitors = monitors;
    }

    fn probe(&mut self, card: &MemberCard, number: u32, actions: &mut Vec<MembershipAction>) {
        let mut message = self.message_with_news(&card.region);
        message.probe = number;
        self.remind(&card.name, &mut message);
        actions.push(send(&card.name, &message));
    }

    fn probe_through_others(
        &mut self,
        target: &MemberCard,
        number: u32,
        actions: &mut Vec<MembershipAction>,
    ) {
        let view = self.view();
        let candidates: Vec<_> = view
            .region(&self.own.region)
            .filter(|card| card.name != self.own.name && card.name != target.name)
            .collect();
        let helpers: Vec<_> = candidates
            .sample(&mut self.random, INDIRECT_PROBES)
            .map(|card| Arc::clone(&card.name))
            .collect();
        for helper in helpers {
            let mut message = self.message();
            message.probe = number;
            message.probe_target = target.name.to_string();
            actions.push(send(&helper, &message));
        }
    }

    // -- other regions -----------------------------------------------------

    fn probe_regions(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        let mut bridges = std::mem::take(&mut self.bridges);
        for bridge in &mut bridges {
            let number = self.number();
            let interval = self.timing.bridge_interval;
            match bridge.monitor.step(now, interval, &self.timing, number) {
                MonitorStep::Wait => {}
                MonitorStep::Probe(number) | MonitorStep::ProbeIndirectly(number) => {
                    let card = Arc::clone(bridge.monitor.card());
                    self.probe(&card, number, actions);
                }
            }
            if bridge.monitor.is_missing(&self.timing) {
                self.try_next_target(now, bridge, actions);
            }
        }
        self.bridges = bridges;
    }

    fn try_next_target(
        &mut self,
        now: Instant,
        bridge: &mut RegionBridge,
        actions: &mut Vec<MembershipAction>,
    ) {
        let view = self.view();
        let ours = PeerGraph::ranked(&bridge.region, view.region(&self.own.region));
        let rank = ours.iter().position(|card| *card == self.own).unwrap_or(0);
        let step = rank + bridge.failed() + 1;
        let target = bridge_target(&view, &self.own.region, &bridge.region, step);
        let target = target.unwrap_or_else(|| Arc::clone(bridge.monitor.card()));
        if bridge.fail(ProbeMonitor::new(target, now)) {
            actions.push(MembershipAction::RegionReachable {
                region: Arc::clone(&bridge.region),
                reachable: false,
            });
        }
    }

    // -- suspicion ---------------------------------------------------------

    fn suspect(&mut self, now: Instant, card: &MemberCard, actions: &mut Vec<MembershipAction>) {
        let Some(member) = self.table.get(&card.name) else {
            return;
        };
        if member.state == MemberState::Alive {
            let record = news(&member.card, member.incarnation, MemberState::Suspect);
            self.apply(now, &record, actions);
        }
    }

    /// Suspects of this region that did not refute in time are dead.
    fn end_suspicions(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        let expired: Vec<Arc<str>> = self
            .suspects
            .iter()
            .filter(|(_, since)| now >= **since + self.timing.suspicion)
            .map(|(name, _)| Arc::clone(name))
            .collect();
        for name in expired {
            self.suspects.remove(&name);
            let Some(member) = self.table.get(&name) else {
                continue;
            };
            if member.state == MemberState::Suspect {
                let record = news(&member.card, member.incarnation, MemberState::Dead);
                self.apply(now, &record, actions);
            }
        }
    }

    /// Tries one dead member of the region, so that both sides of a cut find
    /// each other again after any time.
    fn probe_dead(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        if now < self.next_dead_probe {
            return;
        }
        self.next_dead_probe = now + self.timing.dead_interval;
        let dead: Vec<Arc<MemberCard>> = self
            .table
            .iter()
            .filter(|member| member.state == MemberState::Dead)
            .filter(|member| member.card.region == self.own.region)
            .map(|member| Arc::clone(&member.card))
            .collect();
        if let Some(card) = dead.choose(&mut self.random) {
            let number = self.number();
            self.probe(card, number, actions);
        }
    }

    // -- messages ----------------------------------------------------------

    /// Asks a seed for members that this one does not know: often while it is
    /// alone or new, seldom afterwards, so that two groups which started apart
    /// always find each other.
    fn join(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        if now < self.next_join {
            return;
        }
        let known = self.table.iter().filter(|member| member.state.is_live());
        let settled = known.count() > 1 && now >= self.settled;
        let interval = match settled {
            true => self.timing.seed_interval,
            false => self.timing.join_interval,
        };
        let stretch = 1.0 + self.random.random::<f64>();
        self.next_join = now + interval.mul_f64(stretch);
        if let Some(seed) = self.seeds.choose(&mut self.random).cloned() {
            let mut message = self.message();
            message.join = true;
            message.bucket_digests = self.table.bucket_digests(CompareScope::Everyone);
            actions.push(send(&seed, &message));
        }
    }

    fn leave(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        let Some(member) = self.table.get(&self.own.name) else {
            return;
        };
        let left = Member {
            state: MemberState::Left,
            since: now,
            ..member.clone()
        };
        self.table.put(left);
        let message = self.message();
        let view = self.view();
        let neighbours = self.monitors.iter().map(|monitor| &monitor.card().name);
        let mut receivers: BTreeSet<&Arc<str>> = neighbours.collect();
        let others: Vec<_> = view.region(&self.own.region).collect();
        let extra = others.sample(&mut self.random, INDIRECT_PROBES);
        receivers.extend(extra.map(|card| &card.name));
        for receiver in receivers {
            actions.push(send(receiver, &message));
        }
    }

    fn receive(
        &mut self,
        now: Instant,
        from: &str,
        payload: &[u8],
        actions: &mut Vec<MembershipAction>,
    ) -> Result<()> {
        if self.has_left() {
            return Ok(());
        }
        let message = MembershipMessage::decode(payload)?;
        let sender = message.sender.as_ref().ok_or(MembershipError::NoSender)?;
        if sender.name != from {
            return Err(MembershipError::WrongSender);
        }
        self.apply(now, sender, actions);
        for record in &message.records {
            if self.may_tell(&sender.region, record) {
                self.apply(now, record, actions);
            }
        }
        self.take_ack(&message, actions);
        self.answer(now, &message, sender, actions);
        Ok(())
    }

    fn take_ack(&mut self, message: &MembershipMessage, actions: &mut Vec<MembershipAction>) {
        let number = message.probe_ack;
        if number == 0 {
            return;
        }
        for monitor in &mut self.monitors {
            monitor.acknowledge(number);
        }
        for bridge in &mut self.bridges {
            if bridge.monitor.acknowledge(number) && bridge.succeed() {
                actions.push(MembershipAction::RegionReachable {
                    region: Arc::clone(&bridge.region),
                    reachable: true,
                });
            }
        }
        let relayed = self
            .relayed
            .iter()
            .position(|probe| probe.own_number == number);
        if let Some(probe) = relayed.and_then(|index| self.relayed.remove(index)) {
            let mut answer = self.message();
            answer.probe_ack = probe.number;
            actions.push(send(&probe.asker, &answer));
        }
    }

    fn answer(
        &mut self,
        now: Instant,
        message: &MembershipMessage,
        sender: &MemberRecord,
        actions: &mut Vec<MembershipAction>,
    ) {
        if message.probe != 0 && !message.probe_target.is_empty() {
            self.relay_probe(message, &sender.name, actions);
        } else if message.probe != 0 {
            let mut answer = self.message_with_news(&sender.region);
            answer.probe_ack = message.probe;
            self.remind(&sender.name, &mut answer);
            actions.push(send(&sender.name, &answer));
        }
        if !message.bucket_digests.is_empty() {
            self.answer_comparison(message, sender, actions);
        } else if message.view_digest != 0 {
            self.compare(now, message.view_digest, sender, actions);
        }
    }

    fn relay_probe(
        &mut self,
        message: &MembershipMessage,
        asker: &str,
        actions: &mut Vec<MembershipAction>,
    ) {
        let target = self.table.get(&message.probe_target);
        let Some(target) = target.map(|member| Arc::clone(&member.card)) else {
            return;
        };
        let own_number = self.number();
        if self.relayed.len() >= MAX_RELAYED {
            self.relayed.pop_front();
        }
        self.relayed.push_back(RelayedProbe {
            own_number,
            number: message.probe,
            asker: asker.into(),
        });
        self.probe(&target, own_number, actions);
    }

    /// Asks a sender with other records for the differing ones, seldom enough
    /// that news on their way are not fetched twice.
    fn compare(
        &mut self,
        now: Instant,
        digest: u32,
        sender: &MemberRecord,
        actions: &mut Vec<MembershipAction>,
    ) {
        let scope = match *sender.region == *self.own.region {
            true => CompareScope::Everyone,
            false => CompareScope::Region(&sender.region),
        };
        if digest == self.table.digest(scope) || now < self.next_sync {
            return;
        }
        let stretch = 1.0 + self.random.random::<f64>();
        self.next_sync = now + self.timing.sync_interval.mul_f64(stretch);
        if self.fresh_news {
            return;
        }
        let mut message = self.message();
        message.bucket_digests = self.table.bucket_digests(scope);
        actions.push(send(&sender.name, &message));
    }

    fn answer_comparison(
        &mut self,
        message: &MembershipMessage,
        sender: &MemberRecord,
        actions: &mut Vec<MembershipAction>,
    ) {
        if message.bucket_digests.len() != BUCKETS {
            return;
        }
        let everyone = message.join || *sender.region == *self.own.region;
        let scope = match everyone {
            true => CompareScope::Everyone,
            false => CompareScope::Region(&self.own.region),
        };
        let differing = self.table.differing(scope, &message.bucket_digests);
        let records: Vec<MemberRecord> = differing.into_iter().map(Member::to_record).collect();
        for part in records.chunks(MAX_RECORDS) {
            let mut answer = self.message();
            answer.records = part.to_vec();
            actions.push(send(&sender.name, &answer));
        }
    }

    // -- news --------------------------------------------------------------

    /// Whether a sender of `region` may tell of a member: of its own region's,
    /// of a stranger, or of this daemon, which judges for itself.
    fn may_tell(&self, region: &str, record: &MemberRecord) -> bool {
        if *region == *self.own.region || *record.name == *self.own.name {
            return true;
        }
        let known = self.table.get(&record.name);
        known.is_none_or(|known| &*known.card.region == region)
    }

    /// Takes a record if it is newer, passes it on, and refutes what others
    /// wrongly say of this daemon.
    fn apply(&mut self, now: Instant, record: &MemberRecord, actions: &mut Vec<MembershipAction>) {
        if *record.name == *self.own.name {
            self.refute(now, record);
            return;
        }
        let before = self.table.get(&record.name).map(|member| member.state);
        let Some(member) = self.table.merge(now, record) else {
            return;
        };
        let (card, state) = (Arc::clone(&member.card), member.state);
        match state {
            MemberState::Suspect if card.region == self.own.region => {
                self.suspects.insert(Arc::clone(&card.name), now);
            }
            MemberState::Suspect => {}
            MemberState::Alive | MemberState::Dead | MemberState::Left => {
                self.suspects.remove(&card.name);
            }
        }
        self.tell(&card.name);
        if before != Some(state) {
            self.rewire |= before.is_none_or(|before| before.is_live() != state.is_live());
            actions.push(MembershipAction::Changed { card, state });
        } else {
            self.rewire = true;
        }
    }

    fn refute(&mut self, now: Instant, record: &MemberRecord) {
        let Some(own) = self.table.get(&self.own.name) else {
            return;
        };
        let says_alive = record.state() == crate::generated::membership::MemberState::Alive;
        let outdated = record.incarnation < own.incarnation;
        let agrees = record.incarnation == own.incarnation && says_alive;
        if outdated || agrees || own.state != MemberState::Alive {
            return;
        }
        let refuted = Member {
            incarnation: record.incarnation + 1,
            since: now,
            ..own.clone()
        };
        self.table.put(refuted);
        let name = Arc::clone(&self.own.name);
        self.tell(&name);
    }

    fn tell(&mut self, name: &Arc<str>) {
        // News flow along a graph: one tell to each neighbour on either side
        // and to a bridge reaches everyone, and digests find what was lost.
        // SWIM's multiple of log n would go on telling for minutes.
        let tells = 2 * self.timing.fan_out + 2;
        self.queue.push(name, tells);
        self.fresh_news = true;
    }

    /// Sends news to the neighbours at once rather than with the next probe.
    fn tell_fresh_news(&mut self, actions: &mut Vec<MembershipAction>) {
        if !self.fresh_news {
            return;
        }
        self.fresh_news = false;
        let neighbours = self.monitors.iter().map(ProbeMonitor::card);
        let bridges = self.bridges.iter().map(|bridge| bridge.monitor.card());
        let targets: Vec<_> = neighbours.chain(bridges).cloned().collect();
        for card in targets {
            if !self.queue.is_empty() {
                let message = self.message_with_news(&card.region);
                actions.push(send(&card.name, &message));
            }
        }
    }

    /// Adds what is believed of the receiver when it is not alive, so that it
    /// can refute it.
    fn remind(&self, receiver: &str, message: &mut MembershipMessage) {
        let member = self.table.get(receiver);
        if let Some(member) = member.filter(|member| member.state != MemberState::Alive) {
            message
                .records
                .push(news(&member.card, member.incarnation, member.state));
        }
    }

    /// A message without news and with no digest to compare.
    fn message(&self) -> MembershipMessage {
        MembershipMessage {
            sender: self.table.get(&self.own.name).map(Member::to_record),
            ..MembershipMessage::default()
        }
    }

    /// A message with a digest and news for a member of `region`. Another
    /// region is told of this region alone: each region judges its own
    /// members, so that two halves of a split one can't argue through a third.
    fn message_with_news(&mut self, region: &str) -> MembershipMessage {
        let mut message = self.message();
        let abroad = *region != *self.own.region;
        let scope = match abroad {
            true => CompareScope::Region(&self.own.region),
            false => CompareScope::Everyone,
        };
        message.view_digest = self.table.digest(scope);
        for name in self.queue.take(MAX_NEWS) {
            let member = self.table.get(&name);
            let told = |member: &&Member| {
                !abroad || (scope.covers(&member.card) && member.state != MemberState::Suspect)
            };
            message.records.extend(member.filter(told).map(shortened));
        }
        message
    }

    fn number(&mut self) -> u32 {
        let number = self.next_number;
        self.next_number = number.wrapping_add(1).max(1);
        number
    }

    fn soon(&mut self, now: Instant) -> Instant {
        now + self.timing.probe_interval.mul_f64(self.random.random())
    }

    fn has_left(&self) -> bool {
        let own = self.table.get(&self.own.name);
        own.is_none_or(|own| own.state == MemberState::Left)
    }
}

/// Target of the bridge of a rank: the regions' members meet in one order.
fn bridge_target(
    view: &MemberView,
    own_region: &str,
    region: &str,
    step: usize,
) -> Option<Arc<MemberCard>> {
    let theirs = PeerGraph::ranked(own_region, view.region(region));
    let index = step.checked_rem(theirs.len())?;
    Some(Arc::clone(&theirs[index]))
}

/// Everything for news of life, so that strangers can be added; the name alone
/// for the rest.
fn shortened(member: &Member) -> MemberRecord {
    match member.state {
        MemberState::Alive => member.to_record(),
        MemberState::Suspect | MemberState::Dead | MemberState::Left => {
            news(&member.card, member.incarnation, member.state)
        }
    }
}

fn news(card: &MemberCard, incarnation: u64, state: MemberState) -> MemberRecord {
    MemberRecord {
        name: card.name.to_string(),
        incarnation,
        state: state.to_message().into(),
        ..MemberRecord::default()
    }
}

fn send(to: &str, message: &MembershipMessage) -> MembershipAction {
    MembershipAction::Send {
        to: to.into(),
        payload: message.encode_to_vec().into(),
    }
}

#[cfg(test)]
#[path = "membership_core_tests.rs"]
mod tests;
