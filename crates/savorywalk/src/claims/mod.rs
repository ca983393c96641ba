//! Claims make a non-idempotent request run at most once, whichever entries
//! its caller sends it to. See docs/design/claims.md.

mod claim_client;
mod claim_error;
mod claim_limits;
mod claim_table;
mod control_claims;
mod local_claims;

pub use crate::generated::claims::claim_call::Call as ClaimStep;
pub use crate::generated::claims::claim_outcome::Outcome as ClaimDecision;
pub use crate::generated::claims::{
    ClaimAnswer, ClaimAnswerDropped, ClaimBatch, ClaimBatchOutcome, ClaimCall, ClaimConflict,
    ClaimFinish, ClaimGranted, ClaimKey, ClaimOrphaned, ClaimOutcome, ClaimOwner, ClaimRecord,
    ClaimRecorded, ClaimRefusal, ClaimRelease, ClaimRequest, ClaimRunning, ClaimTableSnapshot,
    ClaimUnknown, EntryLease, EntryRecord,
};
pub use claim_client::{ClaimClient, ClaimTicket};
pub use claim_error::ClaimError;
pub use claim_limits::ClaimLimits;
pub(crate) use claim_limits::{DEFAULT_RETENTION, MAX_RETENTION, MIN_RETENTION};
pub use claim_table::ClaimTable;
pub use control_claims::ControlClaims;
pub use local_claims::LocalClaims;

/// Result of a request that is claimed.
pub type Result<T> = std::result::Result<T, ClaimError>;
