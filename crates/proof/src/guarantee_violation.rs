use savorywalk::prelude::*;

use crate::{EndpointName, EntryName, RequestMark};

/// A promise that a history breaks; a test that meets one has failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum GuaranteeViolation {
    /// An answer is not the whole answer to its own request.
    #[error("{request:?} was answered with {content:?} in place of {expected:?}")]
    WrongAnswer {
        /// The request.
        request: RequestMark,
        /// What came.
        content: String,
        /// What should have come.
        expected: String,
    },
    /// A request that was sent got neither an answer nor an error.
    #[error("{request:?} got neither an answer nor an error")]
    Lost {
        /// The request.
        request: RequestMark,
    },
    /// A request sent once got more than one final reply.
    #[error("{request:?} was sent {sent} time(s) and got {replies} replies")]
    Doubled {
        /// The request.
        request: RequestMark,
        /// How often it was sent.
        sent: usize,
        /// How many final replies came.
        replies: usize,
    },
    /// "Not run" was said of a request that an endpoint had received.
    #[error("{request:?} was called not run, but {endpoint:?} had received it")]
    RanAfterAll {
        /// The request.
        request: RequestMark,
        /// An endpoint that had received it.
        endpoint: EndpointName,
    },
    /// A non-idempotent stage was received more than once.
    #[error(
        "stage {stage:?} of the non-idempotent {request:?} was received by {endpoints:?}, sent {sent} times by its caller"
    )]
    RanTwice {
        /// The request.
        request: RequestMark,
        /// The stage.
        stage: String,
        /// Its receivers, in order.
        endpoints: Vec<EndpointName>,
        /// How often its caller sent it.
        sent: usize,
    },
    /// A leaving endpoint got new work too late.
    #[error("{endpoint:?} got {request:?} {after:?} after its leaving notice")]
    WorkToLeaver {
        /// The endpoint.
        endpoint: EndpointName,
        /// The request.
        request: RequestMark,
        /// Time since the notice.
        after: Duration,
    },
    /// An entry served an older version after a newer one.
    #[error("{entry:?} served version {newer}, then version {older}")]
    VersionReverted {
        /// The entry.
        entry: EntryName,
        /// The version that it had served.
        newer: u64,
        /// The version that it served then.
        older: u64,
    },
    /// An acknowledged patch is not in the history of versions.
    #[error("patch {patch:?} was acknowledged as version {version} and is not there")]
    PatchLost {
        /// The version.
        version: u64,
        /// The patch.
        patch: String,
    },
    /// Two patches were acknowledged as one version.
    #[error("version {version} was acknowledged to {first:?} and to {second:?}")]
    PatchDoubled {
        /// The version.
        version: u64,
        /// One patch.
        first: String,
        /// The other.
        second: String,
    },
    /// An old leader's order was carried out after a newer one's.
    #[error("{endpoint:?} carried out order {older:?} after {newer:?}")]
    OrderReverted {
        /// The endpoint.
        endpoint: EndpointName,
        /// The order carried out before.
        newer: (u64, u64),
        /// The older order, carried out later.
        older: (u64, u64),
    },
    /// A planned stop cut a request.
    #[error(
        "{request:?} was cut {after:?} after it was sent by the planned stop of {entry:?}, {receipts} endpoints had it"
    )]
    CutByStop {
        /// The request.
        request: RequestMark,
        /// The entry.
        entry: EntryName,
        /// Time since its caller sent it.
        after: Duration,
        /// Endpoints that received it since.
        receipts: usize,
    },
}
