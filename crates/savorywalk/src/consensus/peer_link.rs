use super::{NodeNumber, ReplicaId};
use crate::prelude::*;

/// Sends a replica's messages to other replicas.
pub trait PeerLink: Send + 'static {
    /// Sends to the replica that runs at `to.node()`, of any incarnation; must not block.
    ///
    /// A message may be lost, duplicated, delayed or reordered, but not altered.
    fn send(&self, to: ReplicaId, payload: Bytes);
}

/// A message from another replica.
#[derive(Clone, Debug)]
pub struct PeerMessage {
    /// Sending node, as authenticated by the link.
    pub from: NodeNumber,
    /// The encoded message.
    pub payload: Bytes,
}
