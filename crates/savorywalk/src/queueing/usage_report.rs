use crate::prelude::*;

/// Endpoint time that one entry gave one workspace at one pool since its last
/// report; entries exchange these so that shares hold across all of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The pool.
    pub pool: String,
    /// The workspace.
    pub workspace: String,
    /// Endpoint time, in microseconds.
    pub endpoint_micros: u64,
}

impl UsageReport {
    /// The endpoint time.
    pub fn cost(&self) -> Duration {
        Duration::from_micros(self.endpoint_micros)
    }
}
