use crate::prelude::*;

/// Why a document is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TableError {
    /// A route uses a pool that the document does not define.
    #[error(
        "route {route:?} needs pool {pool:?}, which is not defined; define it or correct the name"
    )]
    UnknownPool {
        /// Name of the route.
        route: String,
        /// Name of the missing pool.
        pool: String,
    },
    /// Two pools have the same name.
    #[error("pool {0:?} is defined twice; remove one")]
    DuplicatePool(String),
    /// Two routes have the same host and path prefix.
    #[error("route {0:?} has the host and path prefix of another one; change either")]
    DuplicateRoute(String),
    /// The weights of a route's pools add up to zero.
    #[error("the weights of route {0:?} add up to 0; give a pool a weight")]
    ZeroWeight(String),
    /// The timeout of a route is zero.
    #[error("route {0:?} has no time; give it at least 1 ms")]
    ZeroTimeout(String),
    /// A stage depends on one that does not precede it.
    #[error(
        "stage {stage} of route {route:?} needs a stage that does not come before it; list stages in order"
    )]
    StageOrder {
        /// Name of the route.
        route: String,
        /// Index of the stage.
        stage: usize,
    },
    /// Two workspaces have the same key.
    #[error("workspaces {first:?} and {second:?} share a key; give each its own")]
    DuplicateKey {
        /// Name of the workspace that is listed first.
        first: String,
        /// Name of the other workspace.
        second: String,
    },
    /// The weight of a workspace is out of range.
    #[error(
        "workspace {workspace:?} has the weight {weight}; give it one from 0.001 to 1000, or none for 1"
    )]
    ShareWeight {
        /// Name of the workspace.
        workspace: String,
        /// The weight that was given.
        weight: String,
    },
    /// The floor of a workspace is negative or not finite.
    #[error("workspace {workspace:?} has the floor {floor}; give it a share from 0 to 1, or none")]
    ShareFloor {
        /// Name of the workspace.
        workspace: String,
        /// The floor that was given.
        floor: String,
    },
    /// The floors of all workspaces exceed the whole.
    #[error("the floors of the workspaces add up to {0}; lower them to a sum of at most 1")]
    FloorSum(String),
    /// The document can't be parsed.
    #[error("the document can't be read: {0}; send it whole, in its documented form")]
    Unreadable(String),
}
