use crate::prelude::*;
use crate::transport::PeerName;

/// The control daemons that a follower may ask, and which one it asks now.
///
/// Each follower begins at another place, so that all of them together load
/// the control daemons evenly, and stays while it is answered.
#[derive(Clone, Debug)]
pub struct MemberRing {
    seeds: Vec<PeerName>,
    members: Vec<PeerName>,
    place: u64,
}

impl MemberRing {
    /// A ring that knows the seeds; `place` differs between followers.
    pub fn new(seeds: Vec<PeerName>, place: u64) -> Self {
        Self {
            members: seeds.clone(),
            seeds,
            place,
        }
    }

    /// The daemon to ask; `None` without any.
    pub fn current(&self) -> Option<&PeerName> {
        let count = self.members.len() as u64;
        let index = self.place.checked_rem(count)?;
        self.members.get(index as usize)
    }

    /// Turns to the next daemon, after the current one gave no good answer.
    pub fn advance(&mut self) {
        self.place = self.place.wrapping_add(1);
    }

    /// Takes the members that the current daemon names, and goes on asking it.
    /// The seeds stay on the ring: they are where a deployment is found again
    /// after every member that was known has been replaced.
    pub fn learn(&mut self, named: Vec<PeerName>) {
        if named.is_empty() {
            return;
        }
        let current = self.current().cloned();
        let mut members: BTreeSet<PeerName> = named.into_iter().collect();
        members.extend(self.seeds.iter().cloned());
        let members: Vec<PeerName> = members.into_iter().collect();
        if members == self.members {
            return;
        }
        let kept = current.and_then(|current| members.iter().position(|name| *name == current));
        if let Some(kept) = kept {
            self.place = kept as u64;
        }
        self.members = members;
    }

    /// Replaces the seeds, after the settings have changed.
    pub fn set_seeds(&mut self, seeds: Vec<PeerName>) {
        let named = self.members.clone();
        self.seeds = seeds;
        self.learn(named);
    }
}

#[cfg(test)]
#[path = "member_ring_tests.rs"]
mod tests;
