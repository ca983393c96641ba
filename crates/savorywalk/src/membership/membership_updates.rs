use super::member_table::CompareScope;
use super::membership_core::{member_record, send};
use super::probe_monitor::ProbeMonitor;
use super::{Member, MemberState, MembershipAction, MembershipCore};
use crate::generated::membership::{MemberRecord, MembershipMessage};
use crate::prelude::*;

/// Largest number of updates in one message; at some 60 bytes each they fit into one packet.
const MAX_UPDATES: usize = 8;

/// Dissemination of updates, and refutation of wrong updates about this member.
impl MembershipCore {
    /// Whether a record is accepted from a sender of `region`. It may report members of its own
    /// region, unknown members, and this daemon, which checks such records itself. Senders of
    /// this daemon's region may report any member.
    pub(super) fn may_report(&self, region: &str, record: &MemberRecord) -> bool {
        if *region == *self.own.region || *record.name == *self.own.name {
            return true;
        }
        let known = self.table.get(&record.name);
        known.is_none_or(|known| &*known.identity.region == region)
    }

    /// Merges a record if it is newer and queues it for other members. A wrong record of this
    /// daemon is refuted instead.
    pub(super) fn apply(
        &mut self,
        now: Instant,
        record: &MemberRecord,
        actions: &mut Vec<MembershipAction>,
    ) {
        if *record.name == *self.own.name {
            self.refute(now, record);
            return;
        }
        let before = self.table.get(&record.name).map(|member| member.state);
        let Some(member) = self.table.merge(now, record) else {
            return;
        };
        let (identity, state) = (Arc::clone(&member.identity), member.state);
        match state {
            MemberState::Suspect if identity.region == self.own.region => {
                self.suspects.insert(Arc::clone(&identity.name), now);
            }
            MemberState::Suspect => {}
            MemberState::Alive | MemberState::Dead | MemberState::Left => {
                self.suspects.remove(&identity.name);
            }
        }
        self.queue_update(&identity.name);
        if before != Some(state) {
            self.topology_changed |=
                before.is_none_or(|before| before.is_live() != state.is_live());
            actions.push(MembershipAction::Changed { identity, state });
        } else {
            self.topology_changed = true;
        }
    }

    pub(super) fn refute(&mut self, now: Instant, record: &MemberRecord) {
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
        self.table.insert(refuted);
        let name = Arc::clone(&self.own.name);
        self.queue_update(&name);
    }

    pub(super) fn queue_update(&mut self, name: &Arc<str>) {
        // Along the peer graph, one message to each neighbour on either side and to the bridges
        // reaches all members, and comparing digests recovers lost updates. SWIM's multiple of
        // log n would repeat each update for minutes.
        let sends = 2 * self.timing.fan_out + 2;
        self.queue.push(name, sends);
        self.has_fresh_updates = true;
    }

    /// Sends fresh updates to the neighbours and bridge targets at once, rather than with the
    /// next probe.
    pub(super) fn send_fresh_updates(&mut self, actions: &mut Vec<MembershipAction>) {
        if !self.has_fresh_updates {
            return;
        }
        self.has_fresh_updates = false;
        let neighbours = self.monitors.iter().map(ProbeMonitor::identity);
        let bridges = self.bridges.iter().map(|bridge| bridge.monitor.identity());
        let targets: Vec<_> = neighbours.chain(bridges).cloned().collect();
        for identity in targets {
            if !self.queue.is_empty() {
                let message = self.message_with_updates(&identity.region);
                actions.push(send(&identity.name, &message));
            }
        }
    }

    /// Adds the receiver's record if it isn't alive by this member's table, so that the receiver
    /// can refute it.
    pub(super) fn add_receiver_record(&self, receiver: &str, message: &mut MembershipMessage) {
        let member = self.table.get(receiver);
        if let Some(member) = member.filter(|member| member.state != MemberState::Alive) {
            message.records.push(member_record(
                &member.identity,
                member.incarnation,
                member.state,
            ));
        }
    }

    /// Creates a message with the sender's record only.
    pub(super) fn message(&self) -> MembershipMessage {
        MembershipMessage {
            sender: self.table.get(&self.own.name).map(Member::to_record),
            ..MembershipMessage::default()
        }
    }

    /// Creates a message with a digest and updates for a member of `region`.
    ///
    /// Members of another region get records of this region alone. Each region decides on its
    /// own members, so that the halves of a partitioned region don't exchange contradicting
    /// updates through another region.
    pub(super) fn message_with_updates(&mut self, region: &str) -> MembershipMessage {
        let mut message = self.message();
        let is_other_region = *region != *self.own.region;
        let scope = match is_other_region {
            true => CompareScope::Region(&self.own.region),
            false => CompareScope::Everyone,
        };
        message.view_digest = self.table.digest(scope);
        for name in self.queue.next_batch(MAX_UPDATES) {
            let member = self.table.get(&name);
            let is_sent = |member: &&Member| {
                !is_other_region
                    || (scope.covers(&member.identity) && member.state != MemberState::Suspect)
            };
            message
                .records
                .extend(member.filter(is_sent).map(compact_record));
        }
        message
    }
}

/// The full record of an alive member, so that receivers that don't know it can add it. For other
/// states, the record without address and location.
fn compact_record(member: &Member) -> MemberRecord {
    match member.state {
        MemberState::Alive => member.to_record(),
        MemberState::Suspect | MemberState::Dead | MemberState::Left => {
            member_record(&member.identity, member.incarnation, member.state)
        }
    }
}
