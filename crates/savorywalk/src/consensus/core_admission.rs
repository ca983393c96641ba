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

/// Silence, in multiples of `replace_after`, after which a learner is removed,
/// and a voter even if that makes the majority no smaller.
const REMOVAL_SILENCE_FACTOR: u32 = 10;

/// A lost voter without a successor is removed only while there are more voters than
/// this: three voters tolerate the loss of one.
const MIN_VOTERS: usize = 3;

/// Maximum number of leader hints kept. All are dropped as stale when it is
/// reached.
const MAX_LEADER_HINTS: usize = 16;

/// Why the leader changes the membership by itself; see docs/design/voter-replacement.md.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ChangeGround {
    /// A newcomer asks to join, or takes the place of an earlier learner on its node.
    JoinRequest,
    /// The node of a member has a newer voter.
    Superseded,
    /// The newcomer is on the node of a voter that it replaces.
    SameNode,
    /// The majority is the same with one more voter.
    SameMajority,
    /// Every voter answers, and there is room for one more.
    AllAnswer,
    /// The voter is lost, and a newcomer takes its place.
    Successor,
    /// The voter is lost, and the majority is smaller without it.
    SmallerMajority,
    /// The member has been lost for long.
    LongLost,
}

/// A change and its ground.
type GroundedChange = (MembershipChange, ChangeGround);

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
        if self.is_member() && self.has_promise() {
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
            membership_index: self.log.membership_index(),
        };
        self.send(to, MessageGate::Nothing, Body::JoinHint(hint));
    }

    /// Answers a vote request of a replica outside the membership: the leader
    /// sends it a hint to request admission instead.
    pub(super) fn answer_stranger(&mut self, from: ReplicaId) {
        let membership = self.log.membership();
        let is_non_member = membership.is_some_and(|membership| membership.get(from).is_none());
        let is_committed = self.log.membership_index() <= self.commit;
        if is_non_member && is_committed && matches!(self.role, CoreRole::Leader(_)) {
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
        if hint.expelled && self.is_expelled_by(hint.membership_index) {
            self.expelled = self.own_member().map(|member| member.admitted);
            self.become_follower(self.term, None);
            log_event!(
                info,
                "replica_expelled",
                replica = self.id,
                leader = leader,
                index = hint.membership_index
            );
        }
        if is_new {
            self.join_due = self.now;
        }
    }

    /// Whether the committed membership at `index`, which lacks this replica, ends the
    /// admission that it knows of. An older one does not: its leader may
    /// lack the entry of the admission.
    fn is_expelled_by(&self, index: u64) -> bool {
        let is_leader = matches!(self.role, CoreRole::Leader(_));
        let is_newer = |admitted: u64| index == 0 || index > admitted;
        let member = self.own_member();
        !is_leader && member.is_some_and(|member| is_newer(member.admitted))
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
        self.attempt_change(change, ChangeGround::JoinRequest);
    }

    /// Makes the next change of the membership that is due, if there is one. Each leaves the
    /// majority as it is or makes it smaller while a lost voter is listed.
    pub(super) fn advance_admission(&mut self) {
        if !matches!(self.role, CoreRole::Leader(_)) {
            return;
        }
        let due = self
            .superseded_member()
            .or_else(|| self.due_promotion())
            .or_else(|| self.due_removal())
            .or_else(|| self.lost_learner());
        if let Some((change, ground)) = due {
            self.attempt_change(change, ground);
        }
    }

    /// The removal of a member whose node has a newer voter.
    fn superseded_member(&self) -> Option<GroundedChange> {
        let member = self.log.membership()?.replaced()?;
        Some((MembershipChange::Remove(member), ChangeGround::Superseded))
    }

    /// The promotion of a learner that has caught up: it replaces a voter on its own node, or
    /// there is room for another voter and either the majority stays as it is, from an even
    /// number, or every voter answers.
    fn due_promotion(&self) -> Option<GroundedChange> {
        let membership = self.log.membership()?;
        let keeps_majority = self.voter_count().is_multiple_of(2);
        self.learners().find_map(|learner| {
            let ground = if membership.is_replacement(learner) {
                ChangeGround::SameNode
            } else if !self.has_voter_slot() {
                return None;
            } else if keeps_majority {
                ChangeGround::SameMajority
            } else if self.have_all_answered_since(learner) {
                ChangeGround::AllAnswer
            } else {
                return None;
            };
            let is_ready = self.is_caught_up(learner);
            is_ready.then_some((MembershipChange::Promote(learner), ground))
        })
    }

    /// The removal of a lost voter: from an even number, as the majority is then smaller; from an
    /// odd one if a learner that has caught up takes its place, or after
    /// [`REMOVAL_SILENCE_FACTOR`] times the silence.
    fn due_removal(&self) -> Option<GroundedChange> {
        let lost_after = self.lost_after()?;
        let lost = self.lost_voter(lost_after)?;
        let long_lost = self.lost_voter(lost_after * REMOVAL_SILENCE_FACTOR);
        let voters = self.voter_count();
        let has_successor = self.learners().any(|learner| self.is_caught_up(learner));
        let (voter, ground) = match (voters.is_multiple_of(2), long_lost) {
            (false, _) if has_successor => (lost, ChangeGround::Successor),
            (true, _) if voters > MIN_VOTERS => (lost, ChangeGround::SmallerMajority),
            (false, Some(lost)) if voters > MIN_VOTERS => (lost, ChangeGround::LongLost),
            (true | false, _) => return None,
        };
        Some((MembershipChange::Remove(voter), ground))
    }

    /// The removal of a learner that has been silent for [`REMOVAL_SILENCE_FACTOR`] times the time
    /// after which a voter is lost. It has no vote, but takes the place of a member.
    fn lost_learner(&self) -> Option<GroundedChange> {
        let silence = self.lost_after()? * REMOVAL_SILENCE_FACTOR;
        let is_lost = |id: &ReplicaId| self.silence(*id).is_some_and(|time| time >= silence);
        let learner = self.learners().find(is_lost)?;
        Some((MembershipChange::Remove(learner), ChangeGround::LongLost))
    }

    fn learners(&self) -> impl Iterator<Item = ReplicaId> {
        let members = self
            .log
            .membership()
            .into_iter()
            .flat_map(|all| all.members());
        members
            .filter(|(_, member)| !member.voter)
            .map(|(id, _)| id)
    }

    /// Whether there may be one more voter.
    fn has_voter_slot(&self) -> bool {
        match self.options.discovery {
            NodeDiscovery::Seeds { max_voters, .. } => self.voter_count() < max_voters,
            NodeDiscovery::Listed => false,
        }
    }

    /// Tries a change and ignores a refusal: the next heartbeat or join request
    /// tries it again.
    fn attempt_change(&mut self, change: MembershipChange, ground: ChangeGround) {
        let member = match change {
            MembershipChange::AddLearner(id)
            | MembershipChange::Promote(id)
            | MembershipChange::Remove(id) => id,
        };
        let silence = self.silence(member).unwrap_or_default();
        if let Ok(index) = self.try_change(change) {
            self.log_membership_change(index, change, ground, silence);
        }
    }
}

#[cfg(test)]
#[path = "core_admission_tests.rs"]
mod tests;
