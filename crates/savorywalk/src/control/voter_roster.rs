use crate::consensus::{NodeDiscovery, NodeNumber, ReplicaOptions};
use crate::prelude::*;
use crate::transport::PeerName;

/// Silence after which a voter gives way to a newcomer. Longer than a freeze
/// or a cut that heals by itself usually lasts, and than a restart takes.
const REPLACE_AFTER: Duration = Duration::from_millis(2_500);

/// Shortest time without a leader before an election. Within a region a round
/// takes some 5 ms and a synced vote as much again, so four lost heartbeats
/// mean more than a busy VM.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(400);

/// Time between a leader's rounds of heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(90);

/// Most voters of a cluster that finds its members by itself: nine bear the
/// loss of four, and each commit waits for five of them.
const MAX_VOTERS: usize = 9;

/// Which daemons hold replicas of the log, and how their nodes are numbered.
#[derive(Clone, Debug)]
pub enum VoterRoster {
    /// The settings name all of them.
    Listed(FastMap<NodeNumber, PeerName>),
    /// Any daemon with the control role that finds a seed; a node's number is
    /// its IPv4 address. See docs/design/platform.md.
    Discovered {
        /// Where to ask first.
        seeds: Vec<PeerName>,
        /// True only at the first start of the deployment.
        may_found: bool,
    },
}

impl VoterRoster {
    /// The roster of a deployment whose settings name every voter.
    pub fn listed(voters: &[PeerName]) -> Self {
        let numbered = voters
            .iter()
            .map(|voter| (NodeNumber::from_name(voter.as_str()), voter.clone()));
        Self::Listed(numbered.collect())
    }

    /// Number of the node at `peer`; `None` for a stranger.
    pub fn number_of(&self, peer: &PeerName) -> Option<NodeNumber> {
        match self {
            Self::Listed(voters) => {
                let number = NodeNumber::from_name(peer.as_str());
                (voters.get(&number) == Some(peer)).then_some(number)
            }
            Self::Discovered { .. } => peer.ip().map(|ip| NodeNumber::new(ip.into())),
        }
    }

    /// The daemon at the node with this number.
    pub fn name_of(&self, number: NodeNumber) -> Option<PeerName> {
        match self {
            Self::Listed(voters) => voters.get(&number).cloned(),
            Self::Discovered { .. } => Some(PeerName::from_ip(number.as_u32().into())),
        }
    }

    /// Options of a replica among these.
    pub fn replica_options(&self, seed: u64) -> ReplicaOptions {
        match self {
            Self::Listed(voters) => ReplicaOptions::new(voters.keys().copied().collect(), seed),
            Self::Discovered { seeds, may_found } => {
                let nodes = seeds.iter().filter_map(|seed| self.number_of(seed));
                let mut options = ReplicaOptions::new(nodes.collect(), seed);
                options.discovery = NodeDiscovery::Seeds {
                    may_found: *may_found,
                    max_voters: MAX_VOTERS,
                    replace_after: REPLACE_AFTER,
                };
                options.election_timeout = ELECTION_TIMEOUT;
                options.heartbeat_interval = HEARTBEAT_INTERVAL;
                // A suspended VM's clock stands still, so no lease is safe
                // there: every read asks a majority.
                options.lease_margin_permille = 1_000;
                options
            }
        }
    }
}
