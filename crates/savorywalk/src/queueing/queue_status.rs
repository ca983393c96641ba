use crate::prelude::*;

/// What operators see of a pool's queue at one entry.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct QueueStatus {
    /// The pool.
    pub pool: String,
    /// Stages that this entry may run at once; absent while no endpoint takes
    /// work.
    pub limit: Option<u32>,
    /// Stages that run.
    pub in_use: u32,
    /// Stages that wait.
    pub queued: usize,
    /// Workspaces with stages that wait.
    pub workspaces_waiting: usize,
    /// Endpoint time that the waiting stages are expected to take, in
    /// milliseconds.
    pub backlog_ms: u64,
}
