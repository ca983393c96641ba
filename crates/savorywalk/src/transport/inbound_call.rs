use super::{CallReplier, PeerName};
use crate::prelude::*;

/// One call as it arrived. Dropping its reply refuses it as unanswered.
#[derive(Debug)]
pub struct InboundCall {
    /// Who calls, by its certificate.
    pub from: PeerName,
    /// The request.
    pub payload: Bytes,
    /// Where the answer goes.
    pub reply: CallReplier,
}
