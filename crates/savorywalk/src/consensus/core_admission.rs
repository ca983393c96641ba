use super::replica_core::{CoreRole, MessageGate, Newcomer, ReplicaCore};
use super::{
    Body, EntryKind, FormationOffer, JoinRequest, LogEntry, MembershipChange, NodeNumber,
    ReplicaId, ReplicaMembership,
};
use crate::prelude::*;

/// Term of the entry that founds a cluster; elections start above it.
const FOUNDING_TERM: u64 = 1;

/// Intervals of join requests after which a silent newcomer is forgotten.
const NEWCOMER_INTERVALS: u32 = 3;

/// How a cluster is founded, and how a replica that lost its disk comes back.
impl ReplicaCore {
    /// Asks to be taken in while this replica is no voter and no leader knows it.
    ///
    /// A learner asks too once it hears nothing: the entry that took it in may
    /// have been replaced by a new leader that has never heard of it.
    pub(super) fn tick_join(&mut self) {
        if self.is_voter() || self.now < self.join_due {
            return;
        }
        self.join_due = self.now + self.options.join_interval;
        if self.is_member() && self.has_promise() {
            return;
        }
        for node in self.other_nodes() {
            let body = Body::JoinRequest(JoinRequest {});
            self.send(node.anyone(), MessageGate::Nothing, body);
        }
        self.try_found();
    }

    fn other_nodes(&self) -> Vec<NodeNumber> {
        let own = self.id.node();
        let nodes = self.options.nodes.iter().copied();
        nodes.filter(|node| *node != own).collect()
    }

    pub(super) fn on_join_request(&mut self, from: ReplicaId, cluster: u64) {
        if !self.options.nodes.contains(&from.node()) {
            return;
        }
        if self.cluster == 0 && cluster == 0 {
            let heard = self.now;
            let newcomer = Newcomer { id: from, heard };
            self.newcomers.insert(from.node(), newcomer);
            return self.try_found();
        }
        if cluster == 0 {
            self.repeat_formation(from);
        }
        if cluster == 0 || cluster == self.cluster {
            self.admit_learner(from);
        }
    }

    /// Founds the cluster, if this is the lowest node and all others are new too.
    fn try_found(&mut self) {
        let own = self.id.node();
        let others = self.other_nodes();
        let is_first = others.iter().all(|other| own < *other);
        if self.cluster != 0 || !is_first || !self.options.nodes.contains(&own) {
            return;
        }
        let oldest = self.options.join_interval * NEWCOMER_INTERVALS;
        let heard = others.iter().filter_map(|node| {
            let newcomer = self.newcomers.get(node)?;
            (self.now <= newcomer.heard + oldest).then_some(newcomer.id)
        });
        let mut replicas: Vec<ReplicaId> = heard.collect();
        if replicas.len() < others.len() {
            return;
        }
        replicas.push(self.id);
        self.found(&replicas);
        self.offer_formation(&replicas);
    }

    /// Offers the founding membership again to a founder that missed it.
    fn repeat_formation(&mut self, from: ReplicaId) {
        let Some(entry) = self.log.get(1) else {
            return;
        };
        let Some(founding) = ReplicaMembership::from_payload(&entry.payload) else {
            return;
        };
        if founding.get(from).is_some() {
            let replicas = founding.members().map(|(id, _)| id.as_u64()).collect();
            let body = Body::FormationOffer(FormationOffer { replicas });
            self.send(from, MessageGate::Log, body);
        }
    }

    fn offer_formation(&mut self, replicas: &[ReplicaId]) {
        let offer = FormationOffer {
            replicas: replicas.iter().map(|id| id.as_u64()).collect(),
        };
        let own = self.id;
        for id in replicas.iter().filter(|id| **id != own) {
            let body = Body::FormationOffer(offer.clone());
            self.send(*id, MessageGate::Log, body);
        }
    }

    pub(super) fn on_formation_offer(&mut self, offer: &FormationOffer) {
        let ids = offer.replicas.iter().copied().map(ReplicaId::from_u64);
        let replicas: Vec<ReplicaId> = ids.collect();
        let offered: BTreeSet<NodeNumber> = replicas.iter().map(|id| id.node()).collect();
        let wanted: BTreeSet<NodeNumber> = self.options.nodes.iter().copied().collect();
        let is_right = offered == wanted && replicas.len() == wanted.len();
        if self.cluster == 0 && is_right && replicas.contains(&self.id) {
            self.found(&replicas);
        }
    }

    /// Writes the founding entry, the same at every founding replica.
    fn found(&mut self, replicas: &[ReplicaId]) {
        let membership = ReplicaMembership::founding(replicas.iter().copied());
        self.cluster = membership.cluster_number();
        self.term = FOUNDING_TERM;
        self.staged.hard_state = true;
        self.append_entry(LogEntry {
            index: 1,
            term: FOUNDING_TERM,
            kind: EntryKind::Membership.into(),
            payload: membership.to_payload(),
        });
        self.reset_election();
        log_event!(
            info,
            "cluster_founded",
            replica = self.id,
            cluster = self.cluster
        );
    }

    /// Takes a newcomer in as a learner, if it comes in place of a member's node.
    fn admit_learner(&mut self, from: ReplicaId) {
        let Some(membership) = self.log.membership() else {
            return;
        };
        if membership.get(from).is_some() || !membership.is_replacement(from) {
            return;
        }
        let is_stale = |(id, member): (ReplicaId, super::ReplicaMember)| {
            (!member.voter && id.node() == from.node()).then_some(id)
        };
        let change = match membership.members().find_map(is_stale) {
            Some(stale) => MembershipChange::Remove(stale),
            None => MembershipChange::AddLearner(from),
        };
        self.change_quietly(change);
    }

    /// Promotes a learner that has caught up, then takes out what it replaces.
    pub(super) fn advance_admission(&mut self) {
        if !matches!(self.role, CoreRole::Leader(_)) {
            return;
        }
        let Some(membership) = self.log.membership() else {
            return;
        };
        if let Some(replaced) = membership.replaced() {
            return self.change_quietly(MembershipChange::Remove(replaced));
        }
        let is_ready = |id: ReplicaId| membership.is_replacement(id) && self.is_caught_up(id);
        let learners = membership.members().filter(|(_, member)| !member.voter);
        let ready = learners.map(|(id, _)| id).find(|id| is_ready(*id));
        if let Some(ready) = ready {
            self.change_quietly(MembershipChange::Promote(ready));
        }
    }

    /// Tries a change that is tried again with the next heartbeat anyway.
    fn change_quietly(&mut self, change: MembershipChange) {
        if let Ok(index) = self.try_change(change) {
            log_event!(
                info,
                "membership_change",
                index = index,
                change = format!("{change:?}")
            );
        }
    }
}

#[cfg(test)]
#[path = "core_admission_tests.rs"]
mod tests;
