use crate::consensus::{NodeDiscovery, NodeNumber, ReplicaOptions};
use crate::prelude::*;
use crate::transport::PeerName;

/// Silence after which a new replica may replace a voter. It is longer than a restart,
/// and than most freezes and network cuts that end by themselves.
const REPLACE_AFTER: Duration = Duration::from_millis(2_500);

/// Shortest time without a leader before an election. Within a region, a round trip
/// takes about 5 ms and a synced vote another 5 ms, so four lost heartbeats are not
/// explained by a busy VM.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(400);

/// Time between two heartbeats of a leader.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(90);

/// Most voters of a cluster with discovered members. Nine voters tolerate the loss of
/// four, and each commit waits for five of them.
const MAX_VOTERS: usize = 9;

/// The daemons that may hold replicas of the log, with their node numbers.
#[derive(Clone, Debug)]
pub enum VoterRoster {
    /// The settings name every daemon; a node's number is derived from its name.
    Listed(FastMap<NodeNumber, PeerName>),
    /// Any daemon with the control role that reaches a seed may join; a node's number
    /// is its IPv4 address. See docs/design/platform.md.
    Discovered {
        /// Daemons that a new replica contacts first.
        seeds: Vec<PeerName>,
        /// Whether this daemon may create the cluster; true only at the first start of
        /// the deployment.
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

    /// Number of the node at `peer`. `None` if the settings list the voters without it, or
    /// if the voters are discovered and its name is no IPv4 address.
    pub fn number_of(&self, peer: &PeerName) -> Option<NodeNumber> {
        match self {
            Self::Listed(voters) => {
                let number = NodeNumber::from_name(peer.as_str());
                (voters.get(&number) == Some(peer)).then_some(number)
            }
            Self::Discovered { .. } => peer.ip().map(|ip| NodeNumber::new(ip.into())),
        }
    }

    /// Name of the daemon at the node `number`. `None` if the settings list the voters
    /// without it.
    pub fn name_of(&self, number: NodeNumber) -> Option<PeerName> {
        match self {
            Self::Listed(voters) => voters.get(&number).cloned(),
            Self::Discovered { .. } => Some(PeerName::from_ip(number.as_u32().into())),
        }
    }

    /// Options of a replica of this roster; `seed` randomises its election timeouts.
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
                // The clock of a suspended VM stops, so a leader lease would be unsafe.
                // This margin disables it, and every read asks a majority.
                options.lease_margin_permille = 1_000;
                options
            }
        }
    }
}
