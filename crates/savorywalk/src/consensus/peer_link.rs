use super::{NodeNumber, ReplicaId};
use crate::prelude::*;

/// How a replica's messages reach the others.
pub trait PeerLink: Send + 'static {
    /// Sends to whatever runs at `to.node()`; must not block.
    ///
    /// A message may be lost, doubled, delayed or overtaken, but not changed.
    fn send(&self, to: ReplicaId, payload: Bytes);
}

/// A message from another replica.
#[derive(Clone, Debug)]
pub struct PeerMessage {
    /// Node that the link has authenticated.
    pub from: NodeNumber,
    /// The message as it was sent.
    pub payload: Bytes,
}
