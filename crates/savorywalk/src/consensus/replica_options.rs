use super::NodeNumber;
use super::election_jitter::ElectionJitter;
use crate::prelude::*;

/// Timeouts and limits of one replica.
#[derive(Clone, Debug)]
pub struct ReplicaOptions {
    /// Nodes that may run replicas, this one included; they found a new cluster.
    pub nodes: Vec<NodeNumber>,
    /// Whether `nodes` are all possible nodes or only the first ones to contact.
    pub discovery: NodeDiscovery,
    /// Shortest time without contact from a leader before an election; the longest
    /// is twice that. A voter grants no vote for this long after such contact.
    pub election_timeout: Duration,
    /// Time between a leader's heartbeat rounds.
    pub heartbeat_interval: Duration,
    /// Part of the election timeout, in thousandths, by which a lease is shorter.
    /// A lease thus ends before voters may grant votes, even if clocks drift.
    pub lease_margin_permille: u32,
    /// Time between requests to join the cluster.
    pub join_interval: Duration,
    /// Most bytes of entries in one message.
    pub max_append_bytes: usize,
    /// Most unanswered append messages to one replica.
    pub max_inflight: usize,
    /// Most uncommitted entries in the log; further proposals are refused.
    pub max_uncommitted: u64,
    /// Size of one chunk of a snapshot, in bytes.
    pub snapshot_chunk_bytes: usize,
    /// Largest snapshot that is accepted from a leader, in bytes.
    pub max_snapshot_bytes: u64,
    /// Entries kept in the log below a snapshot, for replicas that lag a little.
    pub trailing_entries: u64,
    /// Seed of the random election timeouts.
    pub seed: u64,
    /// Fault that a test injects.
    #[cfg(test)]
    pub mistake: Option<SeededMistake>,
    /// Starts elections without a pre-vote; no guarantee depends on the pre-vote.
    #[cfg(test)]
    pub skips_pre_vote: bool,
}

/// How a replica learns the nodes of its cluster; see docs/design/platform.md.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeDiscovery {
    /// The options name every node. Only replicas of these nodes may join, each to
    /// replace an earlier replica of its own node.
    Listed,
    /// The options name seeds. Any node may ask to join, and a silent voter is
    /// replaced by a new replica that has caught up.
    Seeds {
        /// True only at the first start of a deployment; otherwise this replica
        /// joins an existing cluster and never founds one.
        may_found: bool,
        /// Most voters; further replicas stay learners until one is needed.
        max_voters: usize,
        /// Time without an answer after which a voter may be replaced.
        replace_after: Duration,
    },
}

impl NodeDiscovery {
    /// Whether this replica may found a cluster with the nodes in the options.
    pub(super) fn may_found(self) -> bool {
        match self {
            Self::Listed => true,
            Self::Seeds { may_found, .. } => may_found,
        }
    }

    /// Whether nodes outside the options may join.
    pub(super) fn is_open(self) -> bool {
        match self {
            Self::Listed => false,
            Self::Seeds { .. } => true,
        }
    }
}

/// Faults that tests inject to prove that their checks detect them.
#[cfg(test)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeededMistake {
    /// A vote is sent before it is synced.
    VoteNotSynced,
    /// A lease is still in force when voters may grant votes again.
    LeaseTooLong,
    /// A replica whose disk was lost restarts under its old identity.
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

    /// Times of the assumed leader contact and of the first election after a start.
    ///
    /// Without leases, no leader relies on earlier contact, so the replica may vote at
    /// once. Its first election comes early, as no replica leads after all have stopped.
    pub(super) fn initial_election_times(
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

    /// Duration of a lease, from the start of the heartbeat round that extends it.
    pub(super) fn lease_time(&self) -> Duration {
        #[cfg(test)]
        if self.mistake == Some(SeededMistake::LeaseTooLong) {
            return self.election_timeout * 8;
        }
        let used = 1_000_u32.saturating_sub(self.lease_margin_permille);
        self.election_timeout * used / 1_000
    }

    /// Whether a pre-vote precedes each election.
    pub(super) fn asks_first(&self) -> bool {
        #[cfg(test)]
        return !self.skips_pre_vote;
        #[cfg(not(test))]
        true
    }

    /// Whether messages wait until the term and vote that they report are synced.
    pub(super) fn syncs_votes(&self) -> bool {
        #[cfg(test)]
        return self.mistake != Some(SeededMistake::VoteNotSynced);
        #[cfg(not(test))]
        true
    }
}
