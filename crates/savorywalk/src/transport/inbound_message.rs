use super::{LinkClass, PeerName};
use crate::prelude::*;

/// One one-way message as it arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InboundMessage {
    /// Who sent it, by its certificate.
    pub from: PeerName,
    /// Class under which it was sent.
    pub class: LinkClass,
    /// The message.
    pub payload: Bytes,
}
