use super::peer_progress::PeerProgress;
use super::{ReplicaId, ReplicaMembership};
use crate::prelude::*;

/// Maximum number of rounds kept while no majority answers; older ones can't
/// extend a lease.
const MAX_ROUNDS: usize = 1_024;

/// State that only a leader has.
#[derive(Clone, Debug)]
pub(super) struct LeaderState {
    pub(super) peers: BTreeMap<ReplicaId, PeerProgress>,
    /// Index of the first entry of this leader's term.
    pub(super) first_index: u64,
    /// Number of the newest round, which sent entries or a heartbeat to every peer.
    pub(super) round: u64,
    /// Newest round that a majority has answered.
    pub(super) quorum_round: u64,
    /// Start of the round `quorum_round`.
    pub(super) lease_start: Option<Instant>,
    /// True once this leader has started to transfer its leadership: it no
    /// longer relies on a lease.
    pub(super) lease_forfeited: bool,
    /// Voters that were silent at the last heartbeat, as logged.
    pub(super) silent_voters: BTreeSet<ReplicaId>,
    pub(super) elected_at: Instant,
    pub(super) heartbeat_due: Instant,
    pub(super) quorum_check_due: Instant,
    pub(super) reads: Vec<PendingRead>,
    rounds: VecDeque<RoundStart>,
}

/// A read that waits until a majority has answered `round`.
#[derive(Clone, Debug)]
pub(super) struct PendingRead {
    pub(super) id: u64,
    pub(super) round: u64,
}

#[derive(Clone, Debug)]
struct RoundStart {
    round: u64,
    started_at: Instant,
}

impl LeaderState {
    pub(super) fn new(now: Instant, first_index: u64, election_timeout: Duration) -> Self {
        Self {
            peers: BTreeMap::new(),
            first_index,
            round: 0,
            quorum_round: 0,
            lease_start: None,
            lease_forfeited: false,
            silent_voters: BTreeSet::new(),
            elected_at: now,
            heartbeat_due: now,
            quorum_check_due: now + election_timeout,
            reads: Vec::new(),
            rounds: VecDeque::new(),
        }
    }

    /// Updates the peers to the members of `membership` other than `own`.
    pub(super) fn refresh_peers(
        &mut self,
        own: ReplicaId,
        membership: &ReplicaMembership,
        next_index: u64,
        now: Instant,
    ) {
        let round = self.round;
        self.peers.retain(|id, _| membership.get(*id).is_some());
        for (id, _) in membership.members().filter(|(id, _)| *id != own) {
            let new = || PeerProgress::new(next_index, round, now);
            self.peers.entry(id).or_insert_with(new);
        }
    }

    pub(super) fn start_round(&mut self, now: Instant) {
        self.round += 1;
        let round = self.round;
        self.rounds.push_back(RoundStart {
            round,
            started_at: now,
        });
        if self.rounds.len() > MAX_ROUNDS {
            self.rounds.pop_front();
        }
    }

    /// Updates the newest round that a majority has answered, and its start.
    pub(super) fn refresh_lease(&mut self, own: ReplicaId, membership: &ReplicaMembership) {
        let acked = |id| match self.peers.get(&id) {
            Some(peer) => peer.acked_round,
            None if id == own => self.round,
            None => 0,
        };
        let Some(round) = membership.quorum_value(acked) else {
            return;
        };
        if round <= self.quorum_round {
            return;
        }
        self.quorum_round = round;
        while let Some(start) = self.rounds.pop_front() {
            if start.round > round {
                self.rounds.push_front(start);
                break;
            }
            if start.round == round {
                self.lease_start = Some(start.started_at);
            }
        }
    }
}
