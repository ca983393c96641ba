use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::probe_monitor::ProbeMonitor;
use super::region_bridge::RegionBridge;
use super::update_queue::UpdateQueue;
use super::{
    Member, MemberIdentity, MemberState, MemberTable, MemberView, MembershipAction,
    MembershipEvent, MembershipTiming, Result,
};
use crate::generated::membership::{MemberRecord, MembershipMessage};
use crate::prelude::*;

/// Number of members asked for an indirect probe.
pub(super) const INDIRECT_PROBES: usize = 2;

/// Membership protocol of one daemon, as a state machine without I/O.
///
/// It follows SWIM (Das, Gupta, Motivala 2002): direct and indirect probes, a suspicion that the
/// suspect can refute by a higher incarnation, and updates piggybacked on probes. It differs in
/// two points, for the reasons in docs/design/membership.md. A member always probes the same few
/// neighbours of a [`PeerGraph`](super::PeerGraph) instead of random members, and only bridges
/// exchange messages between regions.
#[derive(Debug)]
pub struct MembershipCore {
    pub(super) own: Arc<MemberIdentity>,
    pub(super) seeds: Vec<Arc<str>>,
    pub(super) timing: MembershipTiming,
    pub(super) random: ChaCha8Rng,
    pub(super) table: MemberTable,
    pub(super) monitors: Vec<ProbeMonitor>,
    pub(super) bridges: Vec<RegionBridge>,
    pub(super) queue: UpdateQueue,
    pub(super) relayed: VecDeque<RelayedProbe>,
    pub(super) suspects: BTreeMap<Arc<str>, Instant>,
    pub(super) next_number: u32,
    pub(super) next_join: Instant,
    /// End of the time in which this daemon counts as new.
    pub(super) established_at: Instant,
    pub(super) next_dead_probe: Instant,
    pub(super) next_sync: Instant,
    pub(super) topology_changed: bool,
    pub(super) has_fresh_updates: bool,
}

/// Indirect probe that this member carries out for `requester`.
#[derive(Debug)]
pub(super) struct RelayedProbe {
    /// Number of the probe that this member sends.
    pub(super) own_number: u32,
    /// Number of the requester's probe.
    pub(super) number: u32,
    pub(super) requester: Arc<str>,
}

impl MembershipCore {
    /// Creates the state of a daemon that has just started.
    ///
    /// `incarnation` should be higher than at its last start, such as the time of day in
    /// milliseconds. If it isn't, the records that other members keep of the last incarnation
    /// make this one raise it.
    pub fn new(
        now: Instant,
        own: MemberIdentity,
        incarnation: u64,
        seeds: Vec<Arc<str>>,
        timing: MembershipTiming,
        seed: u64,
    ) -> Self {
        let own = Arc::new(own);
        let mut table = MemberTable::default();
        table.insert(Member {
            identity: Arc::clone(&own),
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
            established_at: now + timing.join_time,
            next_dead_probe: now + stagger,
            next_sync: now,
            topology_changed: true,
            has_fresh_updates: false,
        }
    }

    /// Identity of this daemon.
    pub fn own(&self) -> &Arc<MemberIdentity> {
        &self.own
    }

    /// Table of all known members.
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// Snapshot of the membership for the rest of the process.
    pub fn view(&self) -> MemberView {
        MemberView::from_members(self.table.iter())
    }

    /// Handles an event and returns the actions to carry out.
    ///
    /// Fails if a received message is invalid, and then changes nothing.
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

    pub(super) fn tick(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        if self.has_left() {
            return;
        }
        self.end_suspicions(now, actions);
        self.table.remove_expired(now, self.timing.retention);
        if self.topology_changed {
            self.update_monitors(now);
        }
        self.send_fresh_updates(actions);
        self.probe_neighbours(now, actions);
        self.probe_regions(now, actions);
        self.probe_dead(now, actions);
        self.join(now, actions);
    }

    pub(super) fn allocate_number(&mut self) -> u32 {
        let number = self.next_number;
        self.next_number = number.wrapping_add(1).max(1);
        number
    }

    pub(super) fn random_start(&mut self, now: Instant) -> Instant {
        now + self.timing.probe_interval.mul_f64(self.random.random())
    }

    pub(super) fn has_left(&self) -> bool {
        let own = self.table.get(&self.own.name);
        own.is_none_or(|own| own.state == MemberState::Left)
    }
}

pub(super) fn member_record(
    identity: &MemberIdentity,
    incarnation: u64,
    state: MemberState,
) -> MemberRecord {
    MemberRecord {
        name: identity.name.to_string(),
        incarnation,
        state: state.to_message().into(),
        ..MemberRecord::default()
    }
}

pub(super) fn send(to: &str, message: &MembershipMessage) -> MembershipAction {
    MembershipAction::Send {
        to: to.into(),
        payload: message.encode_to_vec().into(),
    }
}

#[cfg(test)]
#[path = "membership_core_tests.rs"]
mod tests;
