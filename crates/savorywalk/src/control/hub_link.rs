use tokio::sync::mpsc;

use super::VoterRoster;
use crate::consensus::{PeerLink, PeerMessage, ReplicaId};
use crate::prelude::*;
use crate::transport::{InboundMessage, LinkChannel, LinkHub};

/// Most messages from other voters that are queued for the replica.
const MAX_INBOUND_MESSAGES: usize = 1_024;

/// Sends and receives a replica's messages over the links of its daemon.
#[derive(Debug)]
pub struct HubLink {
    hub: LinkHub,
    roster: VoterRoster,
}

impl HubLink {
    /// Creates a link to the voters of `roster` and the queue of messages received from
    /// them. Messages from other peers are dropped.
    pub fn start(hub: &LinkHub, roster: &VoterRoster) -> (Self, mpsc::Receiver<PeerMessage>) {
        let (sender, receiver) = mpsc::channel(MAX_INBOUND_MESSAGES);
        let inbound = hub.subscribe(LinkChannel::Consensus);
        tokio::spawn(forward(inbound, sender, roster.clone()));
        let link = Self {
            hub: hub.clone(),
            roster: roster.clone(),
        };
        (link, receiver)
    }
}

impl PeerLink for HubLink {
    fn send(&self, to: ReplicaId, payload: Bytes) {
        let Some(voter) = self.roster.name_of(to.node()) else {
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

/// Queues the messages of voters for the replica until either side closes.
async fn forward(
    mut inbound: mpsc::Receiver<InboundMessage>,
    sender: mpsc::Sender<PeerMessage>,
    roster: VoterRoster,
) {
    while let Some(message) = inbound.recv().await {
        let Some(from) = roster.number_of(&message.from) else {
            log_event!(warn, "replica_message_of_stranger", from = message.from);
            continue;
        };
        let payload = message.payload;
        if sender.send(PeerMessage { from, payload }).await.is_err() {
            return;
        }
    }
}
