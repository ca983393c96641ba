use crate::prelude::*;

/// Why a stage was not run at its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum QueueRefusal {
    /// The queue holds its maximum number of stages.
    #[error("the pool's queue is full; send it again when load is lower")]
    Full,
    /// The workspace's waiting stages have reached its share of the queue.
    #[error("the workspace is over its share of a busy pool; send less at once")]
    OverShare,
    /// The stage can't finish in time, or probably can't while others wait.
    #[error("the deadline can't be met any more; allow more time")]
    Expired,
}
