use rand::seq::IndexedRandom;

use super::membership_core::member_record;
use super::{MemberIdentity, MemberState, MembershipAction, MembershipCore};
use crate::prelude::*;

/// Suspicion of members that don't answer, and attempts to reach dead ones.
impl MembershipCore {
    pub(super) fn suspect(
        &mut self,
        now: Instant,
        identity: &MemberIdentity,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(member) = self.table.get(&identity.name) else {
            return;
        };
        if member.state == MemberState::Alive {
            let record = member_record(&member.identity, member.incarnation, MemberState::Suspect);
            self.apply(now, &record, actions);
        }
    }

    /// Declares suspects of this region dead that didn't refute the suspicion in time.
    pub(super) fn end_suspicions(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        let expired: Vec<Arc<str>> = self
            .suspects
            .iter()
            .filter(|(_, since)| now >= **since + self.timing.suspicion_timeout)
            .map(|(name, _)| Arc::clone(name))
            .collect();
        for name in expired {
            self.suspects.remove(&name);
            let Some(member) = self.table.get(&name) else {
                continue;
            };
            if member.state == MemberState::Suspect {
                let record = member_record(&member.identity, member.incarnation, MemberState::Dead);
                self.apply(now, &record, actions);
            }
        }
    }

    /// Probes one dead member of the region, so that both sides of a network partition find each
    /// other however long it lasted.
    pub(super) fn probe_dead(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        if now < self.next_dead_probe {
            return;
        }
        self.next_dead_probe = now + self.timing.dead_interval;
        let dead: Vec<Arc<MemberIdentity>> = self
            .table
            .iter()
            .filter(|member| member.state == MemberState::Dead)
            .filter(|member| member.identity.region == self.own.region)
            .map(|member| Arc::clone(&member.identity))
            .collect();
        if let Some(identity) = dead.choose(&mut self.random) {
            let number = self.allocate_number();
            self.probe(identity, number, actions);
        }
    }
}
