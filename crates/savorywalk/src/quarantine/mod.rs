//! Quarantine of requests and of prompt parts under which endpoints crash. A request is identified
//! by a digest, which is the same for each resend and at each entry. See docs/design/quarantine.md
//! and docs/design/quarantined-parts.md.

mod crash_evidence;
mod culprit_search;
mod index_ages;
mod part_id;
mod part_register;
mod quarantine_list;
mod quarantine_register;
mod request_digest;
mod request_identity;
mod suspect_request;

pub use crate::generated::quarantine::{
    AnsweredPrompt, ClearedPart, CrashRecord, EndpointCrash, PartQuarantine, QuarantineCommand,
    QuarantineOutcome, QuarantineSnapshot, QuarantinedPart, QuarantinedRequest, SuspectPrompt,
    WatchedPart,
};
pub use crash_evidence::{CrashEvidence, MAX_CRASH_PARTS, MAX_SUSPECTS};
pub use culprit_search::{CrashFindings, CrashSuspect};
pub use index_ages::IndexAges;
pub use part_id::PartId;
pub use part_register::{PartRegister, PartWatch};
pub use quarantine_list::QuarantineList;
pub use quarantine_register::QuarantineRegister;
pub use request_digest::RequestDigest;
pub use request_identity::RequestIdentity;
pub use suspect_request::{MAX_PROMPT_PARTS, SuspectRequest};

use crate::prelude::*;

/// Time that a request stays in quarantine after it was last received, and that a crash counts.
/// Refusals tell callers to retry after this time; by then the endpoints may run another program.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(3_600);
