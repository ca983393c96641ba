use tokio::sync::mpsc;

use crate::consensus::{NodeNumber, PeerLink, PeerMessage, ReplicaId};
use crate::prelude::*;
use crate::transport::{InboundMessage, LinkChannel, LinkHub, PeerName};

/// Most messages of other voters that wait for the replica.
const INBOUND_MESSAGES: usize = 1_024;

/// Carries a replica's messages over the links of its daemon.
#[derive(Debug)]
pub struct HubLink {
    hub: LinkHub,
    voters: FastMap<NodeNumber, PeerName>,
}

impl HubLink {
    /// A link to `voters`, and what they send; strangers are not heard.
    pub fn start(hub: &LinkHub, voters: &[PeerName]) -> (Self, mpsc::Receiver<PeerMessage>) {
        let numbered = voters.iter().map(|voter| (number_of(voter), voter.clone()));
        let voters: FastMap<NodeNumber, PeerName> = numbered.collect();
        let (sender, receiver) = mpsc::channel(INBOUND_MESSAGES);
        let inbound = hub.subscribe(LinkChannel::Consensus);
        tokio::spawn(forward(inbound, sender, voters.clone()));
        let link = Self {
            hub: hub.clone(),
            voters,
        };
        (link, receiver)
    }
}

impl PeerLink for HubLink {
    fn send(&self, to: ReplicaId, payload: Bytes) {
        let Some(voter) = self.voters.get(&to.node()) else {
            return;
        };
        if let Err(error) = self
            .hub
            .send(voter.as_str(), LinkChannel::Consensus, payload)
        {
            log_event!(debug, "replica_message_dropped", to = voter, reason = error);
        }
    }
}

/// Number of the replica's place at a voter.
pub(super) fn number_of(voter: &PeerName) -> NodeNumber {
    NodeNumber::from_name(voter.as_str())
}

async fn forward(
    mut inbound: mpsc::Receiver<InboundMessage>,
    sender: mpsc::Sender<PeerMessage>,
    voters: FastMap<NodeNumber, PeerName>,
) {
    while let Some(message) = inbound.recv().await {
        let from = number_of(&message.from);
        if voters.get(&from) != Some(&message.from) {
            log_event!(warn, "replica_message_of_stranger", from = message.from);
            continue;
        }
        let payload = message.payload;
        if sender.send(PeerMessage { from, payload }).await.is_err() {
            return;
        }
    }
}
