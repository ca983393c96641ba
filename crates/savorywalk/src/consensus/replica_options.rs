use super::NodeNumber;
use super::election_jitter::ElectionJitter;
use crate::prelude::*;

/// Times and bounds of one replica.
#[derive(Clone, Debug)]
pub struct ReplicaOptions {
    /// Nodes that may hold replicas, this one's included; a new cluster is
    /// founded by these.
    pub nodes: Vec<NodeNumber>,
    /// Whether `nodes` are all there can be, or only where to ask first.
    pub discovery: NodeDiscovery,
    /// Shortest time without a leader before an election; the longest is
    /// twice that. Voters promise a leader this long.
    pub election_timeout: Duration,
    /// Time between a leader's rounds of heartbeats.
    pub heartbeat_interval: Duration,
    /// How much of the election timeout a lease leaves unused, in thousandths,
    /// so that it ends before the voters' promises at clocks that drift.
    pub lease_margin_permille: u32,
    /// Time between requests to be taken in.
    pub join_interval: Duration,
    /// Most bytes of entries in one message.
    pub max_append_bytes: usize,
    /// Most append messages to one replica that are not yet answered.
    pub max_inflight: usize,
    /// Most entries of the log not yet committed; further proposals are refused.
    pub max_uncommitted: u64,
    /// Bytes of one part of a snapshot.
    pub snapshot_chunk_bytes: usize,
    /// Largest snapshot that is taken from a leader, in bytes.
    pub max_snapshot_bytes: u64,
    /// Entries kept behind a snapshot for replicas that lag a little.
    pub trailing_entries: u64,
    /// Seed of the election timeouts.
    pub seed: u64,
    /// Mistake that a test plants.
    #[cfg(test)]
    pub mistake: Option<SeededMistake>,
    /// Stands for election without asking first, which no promise rests on.
    #[cfg(test)]
    pub skips_pre_vote: bool,
}

/// How the nodes of a cluster are known; see docs/design/platform.md.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeDiscovery {
    /// The options name every node; only these are taken in, each in place of
    /// an earlier replica of its own.
    Listed,
    /// The options name seeds. Any node may ask to be taken in, and a voter
    /// that has fallen silent gives way to a newcomer that has caught up.
    Seeds {
        /// True only at the first start of a deployment; otherwise this
        /// replica joins a cluster and never founds one.
        may_found: bool,
        /// Most voters; further replicas stay learners until one is needed.
        max_voters: usize,
        /// Silence after which a voter gives way to a newcomer.
        replace_after: Duration,
    },
}

impl NodeDiscovery {
    /// Whether this replica may found a cluster with the named nodes.
    pub(super) fn may_found(self) -> bool {
        match self {
            Self::Listed => true,
            Self::Seeds { may_found, .. } => may_found,
        }
    }

    /// Whether nodes that the options don't name may join.
    pub(super) fn is_open(self) -> bool {
        match self {
            Self::Listed => false,
            Self::Seeds { .. } => true,
        }
    }
}

/// Mistakes that tests plant to see that their checks catch them.
#[cfg(test)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeededMistake {
    /// A vote is answered before it is synced.
    VoteNotSynced,
    /// A lease outlasts the voters' promises.
    LeaseTooLong,
    /// A replica whose disk was lost comes back under its old identity.
    ReturningReplicaVotes,
}

impl ReplicaOptions {
    /// Options for voters a few milliseconds apart; see docs/design/consensus.md.
    pub fn new(nodes: Vec<NodeNumber>, seed: u64) -> Self {
        Self {
            nodes,
            discovery: NodeDiscovery::Listed,
            election_timeout: Duration::from_millis(500),
            heartbeat_interval: Duration::from_millis(100),
            lease_margin_permille: 100,
            join_interval: Duration::from_millis(250),
            max_append_bytes: 256 * 1024,
            max_inflight: 32,
            max_uncommitted: 16_384,
            snapshot_chunk_bytes: 256 * 1024,
            max_snapshot_bytes: 256 * 1024 * 1024,
            trailing_entries: 1_000,
            seed,
            #[cfg(test)]
            mistake: None,
            #[cfg(test)]
            skips_pre_vote: false,
        }
    }

    /// When a replica that starts counts as having heard from a leader, and
    /// when it stands for election. Without leases no leader relies on what it
    /// promised before, so it need not wait: after all have stopped at once,
    /// nobody leads.
    pub(super) fn first_promise(
        &self,
        now: Instant,
        jitter: &mut ElectionJitter,
    ) -> (Instant, Instant) {
        let wait = jitter.timeout(self.election_timeout);
        if !self.lease_time().is_zero() {
            return (now, now + wait);
        }
        let long_ago = now.checked_sub(self.election_timeout).unwrap_or(now);
        (long_ago, now + wait / 3)
    }

    /// How long a lease lasts from the sending of its round.
    pub(super) fn lease_time(&self) -> Duration {
        #[cfg(test)]
        if self.mistake == Some(SeededMistake::LeaseTooLong) {
            return self.election_timeout * 8;
        }
        let used = 1_000_u32.saturating_sub(self.lease_margin_permille);
        self.election_timeout * used / 1_000
    }

    /// Whether an election is asked about before it is held.
    pub(super) fn asks_first(&self) -> bool {
        #[cfg(test)]
        return !self.skips_pre_vote;
        #[cfg(not(test))]
        true
    }

    /// Whether answers wait until what they tell of is synced.
    pub(super) fn syncs_votes(&self) -> bool {
        #[cfg(test)]
        return self.mistake != Some(SeededMistake::VoteNotSynced);
        #[cfg(not(test))]
        true
    }
}
