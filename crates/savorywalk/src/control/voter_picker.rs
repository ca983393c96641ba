use crate::transport::PeerName;

/// Chooses the voter to call: the leader while one is known, else each voter in turn.
#[derive(Clone, Debug)]
pub struct VoterPicker {
    voters: Vec<PeerName>,
    leader: Option<PeerName>,
    next: usize,
}

impl VoterPicker {
    /// A picker over `voters` that begins at position `start`, modulo their number.
    /// Different starts spread the first calls over the voters.
    pub fn new(voters: Vec<PeerName>, start: usize) -> Self {
        Self {
            voters,
            leader: None,
            next: start,
        }
    }

    /// The voter to call next, or `None` if there are no voters.
    pub fn pick(&mut self) -> Option<PeerName> {
        if let Some(leader) = &self.leader {
            return Some(leader.clone());
        }
        let count = self.voters.len();
        let voter = self.voters.get(self.next % count.max(1))?;
        self.next = self.next.wrapping_add(1);
        Some(voter.clone())
    }

    /// Records the leader that `sender` named. A name that is empty, unknown or that of
    /// `sender` itself counts as no known leader.
    pub fn record_hint(&mut self, sender: &PeerName, leader: &str) {
        let hinted = self.voters.iter().find(|voter| voter.as_str() == leader);
        self.leader = hinted.filter(|voter| *voter != sender).cloned();
    }

    /// Records that `voter` answered as the leader.
    pub fn record_leader(&mut self, voter: &PeerName) {
        self.leader = Some(voter.clone());
    }

    /// Records that a call to `voter` failed; it is no longer taken for the leader.
    pub fn record_failure(&mut self, voter: &PeerName) {
        if self.leader.as_ref() == Some(voter) {
            self.leader = None;
        }
    }

    /// All voters, in the order in which they are called.
    pub fn voters(&self) -> &[PeerName] {
        &self.voters
    }
}

#[cfg(test)]
#[path = "voter_picker_tests.rs"]
mod tests;
