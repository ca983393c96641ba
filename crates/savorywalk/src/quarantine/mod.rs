//! Requests under which endpoints crash, told by what makes them the same however often
//! and wherever they come again. See docs/design/quarantine.md.

mod crash_evidence;
mod index_ages;
mod quarantine_register;
mod request_digest;

pub use crate::generated::quarantine::{
    CrashRecord, EndpointCrash, QuarantineCommand, QuarantineOutcome, QuarantineSnapshot,
    QuarantinedRequest,
};
pub use crash_evidence::{CrashEvidence, CrashVerdict, MAX_SUSPECTS};
pub use index_ages::IndexAges;
pub use quarantine_register::QuarantineRegister;
pub use request_digest::RequestDigest;

use crate::prelude::*;

/// How long a request stays in quarantine after it came last, and how long a crash
/// counts. A caller that comes back after this time, as it is told, is tried again: by
/// then the endpoints may run another program.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(3_600);
