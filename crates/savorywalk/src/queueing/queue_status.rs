use crate::prelude::*;

/// State of a pool's queue at one entry, for operators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct QueueStatus {
    /// Name of the pool.
    pub pool: String,
    /// Maximum number of stages that this entry runs at once; absent while no
    /// endpoint takes work.
    pub limit: Option<u32>,
    /// Number of running stages.
    pub in_use: u32,
    /// Number of waiting stages.
    pub queued: usize,
    /// Number of workspaces with waiting stages.
    pub workspaces_waiting: usize,
    /// Expected endpoint time of all waiting stages, in milliseconds.
    pub backlog_ms: u64,
}
