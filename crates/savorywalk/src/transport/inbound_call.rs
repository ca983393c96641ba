use super::{CallReplier, PeerName};
use crate::prelude::*;

/// One call as it arrived. Dropping its reply refuses it as unanswered.
#[derive(Debug)]
pub struct InboundCall {
    /// Who calls, by its certificate.
    pub from: PeerName,
    /// The request.
    pub payload: Bytes,
    /// When it arrived; who serves it may be busy for a while.
    pub arrived: Instant,
    /// Where the answer goes.
    pub reply: CallReplier,
}
