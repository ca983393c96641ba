use crate::transport::PeerName;

/// Whom to ask next: the leader while one is known, else each voter in turn.
#[derive(Clone, Debug)]
pub struct VoterPicker {
    voters: Vec<PeerName>,
    leader: Option<PeerName>,
    next: usize,
}

impl VoterPicker {
    /// A picker over `voters`; `start` spreads the first questions over them.
    pub fn new(voters: Vec<PeerName>, start: usize) -> Self {
        Self {
            voters,
            leader: None,
            next: start,
        }
    }

    /// The voter to ask now.
    pub fn pick(&mut self) -> Option<PeerName> {
        if let Some(leader) = &self.leader {
            return Some(leader.clone());
        }
        let count = self.voters.len();
        let voter = self.voters.get(self.next % count.max(1))?;
        self.next = self.next.wrapping_add(1);
        Some(voter.clone())
    }

    /// `asked` says that `leader` leads, or that it knows none. A hint at
    /// itself or at no voter is none.
    pub fn hint(&mut self, asked: &PeerName, leader: &str) {
        let hinted = self.voters.iter().find(|voter| voter.as_str() == leader);
        self.leader = hinted.filter(|voter| *voter != asked).cloned();
    }

    /// `asked` has answered as the leader.
    pub fn answered(&mut self, asked: &PeerName) {
        self.leader = Some(asked.clone());
    }

    /// `asked` gave no answer.
    pub fn failed(&mut self, asked: &PeerName) {
        if self.leader.as_ref() == Some(asked) {
            self.leader = None;
        }
    }

    /// Every voter.
    pub fn voters(&self) -> &[PeerName] {
        &self.voters
    }
}

#[cfg(test)]
#[path = "voter_picker_tests.rs"]
mod tests;
