use crate::prelude::*;

/// Why a stage got no turn at its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum QueueRefusal {
    /// The queue holds as many stages as it may.
    #[error("the pool's queue is full; send it again when load is lower")]
    Full,
    /// The workspace has more waiting than its share of the queue.
    #[error("the workspace is over its share of a busy pool; send less at once")]
    OverShare,
    /// The stage can't end in time any more.
    #[error("the deadline can't be met any more; allow more time")]
    Expired,
}
