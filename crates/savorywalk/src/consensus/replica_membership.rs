use prost::Message;

use super::{MemberRecord, MembershipRecord, ReplicaId};
use crate::prelude::*;

/// Rights of a member, and the entry that added it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaMember {
    /// True for a voter; a learner only receives entries.
    pub voter: bool,
    /// Index of the entry that added it.
    pub admitted: u64,
}

/// One step from a membership to the next; it adds or removes at most one voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Adds a replica as a learner.
    AddLearner(ReplicaId),
    /// Promotes a learner that has caught up to a voter.
    Promote(ReplicaId),
    /// Removes a replica.
    Remove(ReplicaId),
}

/// The members of the cluster from some index of the log on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaMembership {
    members: BTreeMap<ReplicaId, ReplicaMember>,
}

impl ReplicaMembership {
    /// The membership of a new cluster, with all `replicas` as voters.
    pub fn founding(replicas: impl IntoIterator<Item = ReplicaId>) -> Self {
        let founder = ReplicaMember {
            voter: true,
            admitted: 1,
        };
        let members = replicas.into_iter().map(|replica| (replica, founder));
        Self {
            members: members.collect(),
        }
    }

    /// All members, voters and learners, in the order of their identities.
    pub fn members(&self) -> impl Iterator<Item = (ReplicaId, ReplicaMember)> + '_ {
        self.members.iter().map(|(id, member)| (*id, *member))
    }

    /// The voters, in the order of their identities.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.members()
            .filter(|(_, member)| member.voter)
            .map(|(id, _)| id)
    }

    /// The member `id`, if it belongs to the membership.
    pub fn get(&self, id: ReplicaId) -> Option<ReplicaMember> {
        self.members.get(&id).copied()
    }

    /// Whether `id` is a voter.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.get(id).is_some_and(|member| member.voter)
    }

    /// Number of votes that make a majority; with no voters it is 1, so none can be reached.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Whether the voters among `replicas` are a majority.
    pub fn is_quorum(&self, replicas: &BTreeSet<ReplicaId>) -> bool {
        let count = self.voters().filter(|id| replicas.contains(id)).count();
        count >= self.quorum()
    }

    /// The largest value that a majority of voters has reached.
    pub fn quorum_value<T: Ord>(&self, value: impl FnMut(ReplicaId) -> T) -> Option<T> {
        let quorum = self.quorum();
        let mut values: Vec<T> = self.voters().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.into_iter().nth(quorum - 1)
    }

    /// The membership after `change`, or `None` if the change would have no effect or
    /// remove the last voter. `index` is that of the entry with the change.
    pub fn changed(&self, change: MembershipChange, index: u64) -> Option<Self> {
        let mut members = self.members.clone();
        match change {
            MembershipChange::AddLearner(id) => {
                let learner = ReplicaMember {
                    voter: false,
                    admitted: index,
                };
                if members.contains_key(&id) {
                    return None;
                }
                members.insert(id, learner);
            }
            MembershipChange::Promote(id) => {
                let member = members.get_mut(&id).filter(|member| !member.voter)?;
                member.voter = true;
            }
            MembershipChange::Remove(id) => {
                members.remove(&id)?;
            }
        }
        let next = Self { members };
        let has_voter = next.voters().next().is_some();
        has_voter.then_some(next)
    }

    /// Returns a member whose node has a voter that was admitted later, if there is one.
    pub fn replaced(&self) -> Option<ReplicaId> {
        let is_newer = |id: ReplicaId, member: ReplicaMember| {
            self.members().any(|(other, newer)| {
                newer.voter && other.node() == id.node() && newer.admitted > member.admitted
            })
        };
        self.members()
            .find(|(id, member)| is_newer(*id, *member))
            .map(|(id, _)| id)
    }

    /// Whether the node of `id` has another replica that is a voter, which `id` would replace.
    pub fn is_replacement(&self, id: ReplicaId) -> bool {
        self.voters()
            .any(|voter| voter != id && voter.node() == id.node())
    }

    /// Converts to the form used in messages and files.
    pub fn to_record(&self) -> MembershipRecord {
        let members = self.members().map(|(id, member)| MemberRecord {
            replica: id.as_u64(),
            voter: member.voter,
            admitted: member.admitted,
        });
        MembershipRecord {
            members: members.collect(),
        }
    }

    /// Reads the form used in messages and files.
    pub fn from_record(record: &MembershipRecord) -> Self {
        let members = record.members.iter().map(|member| {
            let id = ReplicaId::from_u64(member.replica);
            let role = ReplicaMember {
                voter: member.voter,
                admitted: member.admitted,
            };
            (id, role)
        });
        Self {
            members: members.collect(),
        }
    }

    /// Encodes the payload of a membership entry.
    pub fn to_payload(&self) -> Bytes {
        self.to_record().encode_to_vec().into()
    }

    /// Decodes the payload of a membership entry; `None` if it can't be read.
    pub fn from_payload(payload: &[u8]) -> Option<Self> {
        let record = MembershipRecord::decode(payload).ok()?;
        Some(Self::from_record(&record))
    }

    /// Number of the cluster that these replicas found; never 0, which stands for no cluster.
    pub fn cluster_number(&self) -> u64 {
        let payload = self.to_payload();
        let low = u64::from(crc32c::crc32c(&payload));
        let high = u64::from(crc32c::crc32c_append(!0, &payload));
        ((high << 32) | low).max(1)
    }
}

#[cfg(test)]
#[path = "replica_membership_tests.rs"]
mod tests;
