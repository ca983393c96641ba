use crate::prelude::*;

/// Bounds of a claim table; all replicas must hold the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimLimits {
    /// Most claims; a further one is refused, since forgetting one early could
    /// let its request run twice.
    pub claims: usize,
    /// Most claims of one workspace, so that none fills the table for all.
    pub workspace_claims: usize,
    /// Most answers kept for resends; the oldest goes first.
    pub answers: usize,
    /// Most bytes of kept answers together.
    pub answer_bytes: usize,
    /// Largest answer that is kept, in bytes.
    pub largest_answer: usize,
    /// Most entries with a lease.
    pub entries: usize,
}

impl Default for ClaimLimits {
    /// Sized for one log group: a claim takes some 0.8 KB
    /// (docs/measurements/control.md), so these are about 200 MB, and a day of
    /// three bookings a second.
    fn default() -> Self {
        Self {
            claims: 250_000,
            workspace_claims: 100_000,
            answers: 10_000,
            answer_bytes: 32 << 20,
            largest_answer: 64 << 10,
            entries: 4_096,
        }
    }
}

/// How long a claim is remembered when the configuration says nothing.
pub(crate) const DEFAULT_RETENTION: Duration = Duration::from_secs(86_400);

/// Shortest time that a claim may be remembered: well over the longest
/// deadline (600 s), so that no run outlives its claim.
pub(crate) const MIN_RETENTION: Duration = Duration::from_secs(3_600);

/// Longest time that a claim may be remembered.
pub(crate) const MAX_RETENTION: Duration = Duration::from_secs(604_800);
