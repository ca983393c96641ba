use crate::prelude::*;

/// Endpoint time that one workspace used at one pool through one entry, since
/// that entry's last report. Entries exchange these reports so that shares hold
/// across all entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Name of the pool.
    pub pool: String,
    /// Name of the workspace.
    pub workspace: String,
    /// Endpoint time, in microseconds.
    pub endpoint_micros: u64,
}

impl UsageReport {
    /// The reported endpoint time as a duration.
    pub fn cost(&self) -> Duration {
        Duration::from_micros(self.endpoint_micros)
    }
}
