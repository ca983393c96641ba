use crate::hashing::stable_hash;
use crate::prelude::*;
use crate::transport::PeerName;

/// The control daemons that a follower may call, and the one that it calls now.
///
/// Each follower sorts the daemons in its own order, so that the followers load the daemons
/// evenly, also when a daemon is lost: its followers spread over all others. A follower stays
/// at a daemon as long as that daemon answers.
///
/// At its start a follower knows only the few seeds, which are the same for all. It therefore
/// moves once to the first daemon of its order when it knows all of them ([`Self::settle`]).
/// In the simulation of the registry's tests, the busiest of nine daemons then has 26 of 191
/// followers instead of 69, and the busiest of fifteen has 32 of 335 instead of 124.
#[derive(Clone, Debug)]
pub struct MemberRing {
    seeds: Vec<PeerName>,
    /// Known daemons, including the seeds, in this follower's order.
    members: Vec<PeerName>,
    order_key: u64,
    position: usize,
    is_settled: bool,
}

impl MemberRing {
    /// Creates a ring of the seeds. `order_key` differs between followers and determines the
    /// order of the daemons.
    pub fn new(seeds: Vec<PeerName>, order_key: u64) -> Self {
        Self {
            members: sort_members(order_key, seeds.clone()),
            seeds,
            order_key,
            position: 0,
            is_settled: false,
        }
    }

    /// The daemon to call; `None` when the ring is empty.
    pub fn current(&self) -> Option<&PeerName> {
        let position = self.position.checked_rem(self.members.len())?;
        self.members.get(position)
    }

    /// Moves to the next daemon, after a call to the current one has failed.
    pub fn advance(&mut self) {
        self.position = self.position.wrapping_add(1);
    }

    /// Whether the follower has moved to the first daemon among all known ones.
    pub fn is_settled(&self) -> bool {
        self.is_settled
    }

    /// Moves to the first daemon of the order, unless the ring is already settled. This is
    /// called after the first good answer, which names all daemons, and again after the named
    /// members have changed which daemon is first.
    pub fn settle(&mut self) {
        if !self.is_settled {
            self.is_settled = true;
            self.position = 0;
        }
    }

    /// Replaces the members by those that the current daemon names, and stays at that daemon.
    /// The seeds stay on the ring, so that the follower still finds the deployment after all
    /// known members have been replaced.
    pub fn apply_members(&mut self, named: Vec<PeerName>) {
        if named.is_empty() {
            return;
        }
        let current = self.current().cloned();
        let mut members: BTreeSet<PeerName> = named.into_iter().collect();
        members.extend(self.seeds.iter().cloned());
        let members = sort_members(self.order_key, members.into_iter().collect());
        if members == self.members {
            return;
        }
        if members.first() != self.members.first() {
            self.is_settled = false;
        }
        let kept_position =
            current.and_then(|current| members.iter().position(|name| *name == current));
        self.position = kept_position.unwrap_or(self.position);
        self.members = members;
    }

    /// Like [`Self::apply_members`], with the names as received; invalid names are skipped.
    pub(super) fn apply_member_names(&mut self, named: &[String]) {
        let named = named.iter().filter_map(|name| PeerName::new(name).ok());
        self.apply_members(named.collect());
    }

    /// Applies the members that a daemon has named and settles on the first; false when it
    /// named none.
    pub(super) fn update_members(&mut self, named: &[String]) -> bool {
        self.apply_member_names(named);
        if !named.is_empty() {
            self.settle();
        }
        !named.is_empty()
    }

    /// Replaces the seeds after a change of the settings. Members that are already known stay.
    pub fn set_seeds(&mut self, seeds: Vec<PeerName>) {
        let named = self.members.clone();
        self.seeds = seeds;
        self.apply_members(named);
    }
}

/// Sorts the daemons by a hash of the follower's order key and the daemon's name.
fn sort_members(order_key: u64, mut members: Vec<PeerName>) -> Vec<PeerName> {
    members.sort_by_cached_key(|name| {
        stable_hash(&[order_key.to_le_bytes().as_slice(), name.as_str().as_bytes()])
    });
    members
}

#[cfg(test)]
#[path = "member_ring_tests.rs"]
mod tests;
