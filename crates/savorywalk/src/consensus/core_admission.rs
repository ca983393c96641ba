use super::replica_core::{CoreRole, MessageGate, Newcomer, ReplicaCore};
use super::{
    Body, EntryKind, FormationOffer, JoinHint, JoinRequest, LogEntry, MembershipChange,
    NodeDiscovery, NodeNumber, ReplicaId, ReplicaMembership,
};
use crate::prelude::*;

/// Term of the entry that founds a cluster; elections start above it.
const FOUNDING_TERM: u64 = 1;

/// Age, in join intervals, after which a newcomer's join request no longer counts.
const NEWCOMER_MAX_AGE_INTERVALS: u32 = 3;

/// Maximum number of members, learners included. The leader sends to each of
/// them in every round.
const MAX_MEMBERS: usize = 32;

/// Silence, in multiples of `replace_after`, after which a voter is removed
/// even if no newcomer replaces it.
const REMOVAL_SILENCE_FACTOR: u32 = 10;

/// A silent voter is removed without a replacement only while there are more
/// voters than this: three voters tolerate the loss of one.
const MIN_VOTERS: usize = 3;

/// Maximum number of leader hints kept. All are dropped as stale when it is
/// reached.
const MAX_LEADER_HINTS: usize = 16;

/// Founding of a cluster, and admission of new replicas, for instance of those
/// that have lost their disk.
impl ReplicaCore {
    /// Sends join requests while this replica is neither a voter nor a learner
    /// with leader contact.
    ///
    /// A learner without leader contact sends them too: a new leader may have
    /// overwritten the log entry that added it.
    pub(super) fn tick_join(&mut self) {
        if self.is_voter() || self.now < self.join_due {
            return;
        }
        self.join_due = self.now + self.options.join_interval;
        if self.is_member() && !self.expelled && self.has_promise() {
            return;
        }
        for node in self.join_targets() {
            let body = Body::JoinRequest(JoinRequest {});
            self.send(node.anyone(), MessageGate::Nothing, body);
        }
        self.try_found_cluster();
    }

    fn other_nodes(&self) -> Vec<NodeNumber> {
        let own = self.id.node();
        let nodes = self.options.nodes.iter().copied();
        nodes.filter(|node| *node != own).collect()
    }

    /// The configured nodes and, with open discovery, the leaders named in join
    /// hints and the known voters.
    fn join_targets(&self) -> BTreeSet<NodeNumber> {
        let mut nodes: BTreeSet<NodeNumber> = self.other_nodes().into_iter().collect();
        if self.options.discovery.is_open() {
            nodes.extend(&self.hints);
            let members = self.log.membership().into_iter();
            nodes.extend(members.flat_map(|membership| membership.voters().map(ReplicaId::node)));
        }
        nodes.remove(&self.id.node());
        nodes
    }

    /// Sends the identity of the leader to a replica that requests admission.
    fn send_join_hint(&mut self, to: ReplicaId, expelled: bool) {
        let Some(leader) = self.leader.filter(|_| self.options.discovery.is_open()) else {
            return;
        };
        let hint = JoinHint {
            leader: leader.as_u64(),
            expelled,
        };
        self.send(to, MessageGate::Nothing, Body::JoinHint(hint));
    }

    /// Answers a vote request of a replica outside the membership: the leader
    /// sends it a hint to request admission instead.
    pub(super) fn answer_stranger(&mut self, from: ReplicaId) {
        let membership = self.log.membership();
        let is_non_member = membership.is_some_and(|membership| membership.get(from).is_none());
        if is_non_member && matches!(self.role, CoreRole::Leader(_)) {
            self.send_join_hint(from, true);
        }
    }

    pub(super) fn on_join_hint(&mut self, cluster: u64, hint: &JoinHint) {
        if self.cluster != 0 && cluster != self.cluster {
            return;
        }
        let leader = ReplicaId::from_u64(hint.leader);
        if self.hints.len() >= MAX_LEADER_HINTS {
            self.hints.clear();
        }
        let is_new = self.hints.insert(leader.node());
        if hint.expelled && !self.expelled && !matches!(self.role, CoreRole::Leader(_)) {
            self.expelled = true;
            self.become_follower(self.term, None);
            log_event!(info, "replica_expelled", replica = self.id, leader = leader);
        }
        if is_new {
            self.join_due = self.now;
        }
    }

    pub(super) fn on_join_request(&mut self, from: ReplicaId, cluster: u64) {
        let is_open = self.options.discovery.is_open();
        if !is_open && !self.options.nodes.contains(&from.node()) {
            return;
        }
        if self.cluster == 0 && cluster == 0 {
            let heard = self.now;
            let newcomer = Newcomer { id: from, heard };
            self.newcomers.insert(from.node(), newcomer);
            return self.try_found_cluster();
        }
        if cluster == 0 {
            self.resend_formation(from);
        }
        if cluster == 0 || cluster == self.cluster {
            self.send_join_hint(from, false);
            self.admit_learner(from);
        }
    }

    /// Founds the cluster if this is the lowest of the configured nodes and all
    /// others have recently sent a join request without a cluster.
    fn try_found_cluster(&mut self) {
        let own = self.id.node();
        let others = self.other_nodes();
        let is_first = others.iter().all(|other| own < *other);
        let is_named = self.options.nodes.contains(&own);
        if self.cluster != 0 || !is_first || !is_named || !self.options.discovery.may_found() {
            return;
        }
        let max_age = self.options.join_interval * NEWCOMER_MAX_AGE_INTERVALS;
        let recent = others.iter().filter_map(|node| {
            let newcomer = self.newcomers.get(node)?;
            (self.now <= newcomer.heard + max_age).then_some(newcomer.id)
        });
        let mut replicas: Vec<ReplicaId> = recent.collect();
        if replicas.len() < others.len() {
            return;
        }
        replicas.push(self.id);
        self.found_cluster(&replicas);
        self.offer_formation(&replicas);
    }

    /// Sends the founding membership again to a founder that missed it.
    fn resend_formation(&mut self, from: ReplicaId) {
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
        let configured: BTreeSet<NodeNumber> = self.options.nodes.iter().copied().collect();
        let is_matching = offered == configured && replicas.len() == configured.len();
        if self.cluster == 0 && is_matching && replicas.contains(&self.id) {
            self.found_cluster(&replicas);
        }
    }

    /// Writes the founding entry, the same at every founding replica.
    fn found_cluster(&mut self, replicas: &[ReplicaId]) {
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

    /// Adds a newcomer as a learner if it replaces a member on its node or if
    /// discovery is open. An earlier learner of the same node is removed first.
    fn admit_learner(&mut self, from: ReplicaId) {
        let Some(membership) = self.log.membership() else {
            return;
        };
        let is_admissible = membership.is_replacement(from) || self.options.discovery.is_open();
        let is_full = membership.members().count() >= MAX_MEMBERS;
        if membership.get(from).is_some() || !is_admissible || is_full {
            return;
        }
        let is_stale = |(id, member): (ReplicaId, super::ReplicaMember)| {
            (!member.voter && id.node() == from.node()).then_some(id)
        };
        let change = match membership.members().find_map(is_stale) {
            Some(stale) => MembershipChange::Remove(stale),
            None => MembershipChange::AddLearner(from),
        };
        self.attempt_change(change);
    }

    /// Removes a voter that was replaced or has been silent for too long;
    /// otherwise promotes a learner that has caught up.
    pub(super) fn advance_admission(&mut self) {
        if !matches!(self.role, CoreRole::Leader(_)) {
            return;
        }
        let removable = self.removable_voter();
        let Some(membership) = self.log.membership() else {
            return;
        };
        if let Some(replaced) = membership.replaced().or(removable) {
            return self.attempt_change(MembershipChange::Remove(replaced));
        }
        let is_ready = |id: ReplicaId| {
            (membership.is_replacement(id) || self.has_voter_slot()) && self.is_caught_up(id)
        };
        let learners = membership.members().filter(|(_, member)| !member.voter);
        let ready = learners.map(|(id, _)| id).find(|id| is_ready(*id));
        if let Some(ready) = ready {
            self.promote(ready);
        }
    }

    /// Whether a learner that replaces no member on its own node may become a
    /// voter.
    fn has_voter_slot(&self) -> bool {
        let NodeDiscovery::Seeds {
            max_voters,
            replace_after,
            ..
        } = self.options.discovery
        else {
            return false;
        };
        let Some(membership) = self.log.membership() else {
            return false;
        };
        membership.voters().count() < max_voters || self.silent_voter(replace_after).is_some()
    }

    /// Returns a silent voter to remove: one that a promoted newcomer replaces,
    /// or one that has been silent for `REMOVAL_SILENCE_FACTOR` times
    /// `replace_after` while there are more than `MIN_VOTERS` voters.
    fn removable_voter(&mut self) -> Option<ReplicaId> {
        let NodeDiscovery::Seeds { replace_after, .. } = self.options.discovery else {
            return None;
        };
        let long_silent = self.silent_voter(replace_after * REMOVAL_SILENCE_FACTOR);
        let silent = self.silent_voter(replace_after);
        let voters = self.log.membership()?.voters().count();
        let leader = self.leader_state()?;
        let replaced = leader.replaced_voter.filter(|id| Some(*id) == silent);
        leader.replaced_voter = replaced;
        replaced.or(long_silent.filter(|_| voters > MIN_VOTERS))
    }

    /// Returns a voter that has not answered this leader for `silence`.
    fn silent_voter(&self, silence: Duration) -> Option<ReplicaId> {
        let CoreRole::Leader(leader) = &self.role else {
            return None;
        };
        let membership = self.log.membership()?;
        membership.voters().find(|id| {
            let peer = leader.peers.get(id);
            let contact = peer.map(|peer| peer.contact.unwrap_or(leader.elected_at));
            contact.is_some_and(|at| self.now >= at + silence)
        })
    }

    /// Promotes a learner and marks a silent voter, if there is one, for removal.
    fn promote(&mut self, learner: ReplicaId) {
        let silent = match self.options.discovery {
            NodeDiscovery::Seeds { replace_after, .. } => self.silent_voter(replace_after),
            NodeDiscovery::Listed => None,
        };
        if let Some(leader) = self.leader_state() {
            leader.replaced_voter = silent.filter(|voter| voter.node() != learner.node());
        }
        self.attempt_change(MembershipChange::Promote(learner));
    }

    /// Tries a change and ignores a refusal: the next heartbeat or join request
    /// tries it again.
    fn attempt_change(&mut self, change: MembershipChange) {
        if let Ok(index) = self.try_change(change) {
            self.log_membership_change(index, change);
        }
    }
}

#[cfg(test)]
#[path = "core_admission_tests.rs"]
mod tests;
