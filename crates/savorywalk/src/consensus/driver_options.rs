use super::ReplicaOptions;
use crate::prelude::*;

/// Limits of a driver and of its core.
#[derive(Clone, Debug)]
pub struct DriverOptions {
    /// Timeouts and limits of the core.
    pub replica: ReplicaOptions,
    /// Number of applied entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Bytes of applied commands after which a snapshot is taken.
    pub snapshot_bytes: u64,
    /// Largest command, in bytes.
    pub max_command_bytes: usize,
    /// Longest wait for the outcome of an appended command; after it the outcome is unknown.
    pub outcome_timeout: Duration,
}

impl DriverOptions {
    /// Limits for the logs of configuration and claims; see docs/design/consensus.md.
    pub fn new(replica: ReplicaOptions) -> Self {
        Self {
            replica,
            snapshot_entries: 10_000,
            snapshot_bytes: 16 * 1024 * 1024,
            max_command_bytes: 1024 * 1024,
            outcome_timeout: Duration::from_secs(5),
        }
    }
}
