use crate::prelude::*;

/// Why a document can't be obeyed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TableError {
    /// A route names a pool that the document lacks.
    #[error(
        "route {route:?} needs pool {pool:?}, which is not defined; define it or correct the name"
    )]
    UnknownPool {
        /// The route.
        route: String,
        /// The pool.
        pool: String,
    },
    /// A pool is defined twice.
    #[error("pool {0:?} is defined twice; remove one")]
    DoubledPool(String),
    /// Two routes take the same requests.
    #[error("route {0:?} has the host and path prefix of another one; change either")]
    SamePlace(String),
    /// No pool would get a request.
    #[error("the weights of route {0:?} add up to 0; give a pool a weight")]
    NoWeight(String),
    /// Every request would be late.
    #[error("route {0:?} has no time; give it at least 1 ms")]
    NoTimeout(String),
    /// A stage needs one that comes later.
    #[error(
        "stage {stage} of route {route:?} needs a stage that does not come before it; list stages in order"
    )]
    StageOrder {
        /// The route.
        route: String,
        /// The stage.
        stage: usize,
    },
    /// A key does not tell whose it is.
    #[error("workspaces {first:?} and {second:?} share a key; give each its own")]
    SharedKey {
        /// One workspace.
        first: String,
        /// The other.
        second: String,
    },
    /// The document can't be read.
    #[error("the document can't be read: {0}; send it whole, in its documented form")]
    Unreadable(String),
}
