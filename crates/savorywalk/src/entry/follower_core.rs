use super::FollowerStanding;
use crate::prelude::*;
use crate::transport::PeerName;

/// Longest time for which a confirmation of the version is good. An accepted
/// change must be in force within seconds; this leaves room for a lost check
/// and an election.
pub const CONFIRMATION_TIME: Duration = Duration::from_secs(10);

/// What a voter or another entry says of control.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerReport {
    /// A voter: whether it has heard a leader within its election timeout.
    Voter {
        /// Whether it has.
        has_leader: bool,
    },
    /// An entry: the version that it confirmed last, if any, and when.
    Entry {
        /// The version.
        version: u64,
        /// Time since the leader confirmed it; none when it never did.
        confirmed_ago: Option<Duration>,
    },
}

/// Judges whether the version in force here may still be relied on.
///
/// It tells an entry that is cut off from control as a whole without a quorum:
/// the first must stop admitting, as a newer version may be in force elsewhere;
/// the second may go on, as no change can be accepted. See
/// docs/design/in-force.md.
#[derive(Clone, Debug)]
pub struct FollowerCore {
    voters: usize,
    in_force: u64,
    confirmed: Option<Instant>,
    voter_reports: FastMap<PeerName, (Instant, bool)>,
    entry_reports: FastMap<PeerName, Instant>,
    newer_at: Option<PeerName>,
    other_entries: usize,
}

impl FollowerCore {
    /// An entry that has confirmed nothing yet; control has this many voters.
    pub fn new(voters: usize) -> Self {
        Self {
            voters,
            in_force: 0,
            confirmed: None,
            voter_reports: FastMap::default(),
            entry_reports: FastMap::default(),
            newer_at: None,
            other_entries: 0,
        }
    }

    /// The leader, with a majority behind it, has said at a moment not before
    /// `asked` that `version` is the newest, and it is in force here.
    pub fn confirm(&mut self, asked: Instant, version: u64) {
        self.install(version);
        self.confirmed = self.confirmed.max(Some(asked));
    }

    /// `version` is in force here, without anybody's word that it is the newest.
    pub fn install(&mut self, version: u64) {
        self.in_force = self.in_force.max(version);
        self.newer_at = None;
    }

    /// Tells how many other entries there are.
    pub fn set_other_entries(&mut self, count: usize) {
        self.other_entries = count;
    }

    /// Takes what `peer` said in answer to a question asked at `asked`.
    pub fn report(&mut self, asked: Instant, peer: PeerName, report: PeerReport) {
        match report {
            PeerReport::Voter { has_leader } => {
                self.voter_reports.insert(peer, (asked, has_leader));
            }
            PeerReport::Entry {
                version,
                confirmed_ago,
            } => self.entry_report(asked, peer, version, confirmed_ago),
        }
    }

    fn entry_report(
        &mut self,
        asked: Instant,
        peer: PeerName,
        version: u64,
        confirmed_ago: Option<Duration>,
    ) {
        if version > self.in_force {
            self.newer_at = Some(peer.clone());
        }
        let confirmed = confirmed_ago.and_then(|ago| asked.checked_sub(ago));
        if version == self.in_force && self.confirmed.is_some() {
            self.confirmed = self.confirmed.max(confirmed);
        }
        self.entry_reports.insert(peer, asked);
    }

    /// Another entry with a newer version, which can be fetched from it when
    /// control can't be reached.
    pub fn newer_at(&self) -> Option<&PeerName> {
        self.newer_at.as_ref()
    }

    /// The version confirmed last and the time since, for other entries.
    pub fn confirmation(&self, now: Instant) -> (u64, Option<Duration>) {
        let ago = self.confirmed.map(|at| now.saturating_duration_since(at));
        (self.in_force, ago)
    }

    /// Whether requests may be admitted.
    pub fn standing(&self, now: Instant) -> FollowerStanding {
        let Some(confirmed) = self.confirmed else {
            return FollowerStanding::Learning;
        };
        let fresh = |at: Instant| now.saturating_duration_since(at) <= CONFIRMATION_TIME;
        if fresh(confirmed) {
            return FollowerStanding::Confirmed;
        }
        if self.newer_at.is_some() {
            return FollowerStanding::Stale;
        }
        let leaderless = self.voter_reports.values();
        let leaderless = leaderless.filter(|(at, has_leader)| fresh(*at) && !has_leader);
        if leaderless.count() > self.voters / 2 {
            return FollowerStanding::NoQuorum;
        }
        let seen_leader = self.voter_reports.values();
        let seen_leader = seen_leader
            .filter(|(at, _)| fresh(*at))
            .any(|(_, leader)| *leader);
        if seen_leader || !self.hears_most_entries(now) {
            return FollowerStanding::Stale;
        }
        FollowerStanding::NoQuorum
    }

    /// Whether most entries, this one included, hear each other; a minority
    /// may be cut off together while the others confirm.
    fn hears_most_entries(&self, now: Instant) -> bool {
        let fresh = |at: &&Instant| now.saturating_duration_since(**at) <= CONFIRMATION_TIME;
        let heard = 1 + self.entry_reports.values().filter(fresh).count();
        heard * 2 > 1 + self.other_entries
    }
}

#[cfg(test)]
#[path = "follower_core_tests.rs"]
mod tests;
