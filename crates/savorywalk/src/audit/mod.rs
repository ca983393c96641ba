//! The audit trail names who changed what, in a chain of hashes that shows a
//! gap. See docs/design/audit.md.

mod audit_chain;
mod audit_gap;
mod audit_trail;

pub use crate::generated::control::{AuditRecord, AuditReply, AuditTrailSnapshot};
pub use audit_chain::{GENESIS_HASH, record_hash, verify_chain};
pub use audit_gap::AuditGap;
pub use audit_trail::{AuditEvent, AuditTrail};

/// Result of this module's fallible calls.
pub type Result<T> = std::result::Result<T, AuditGap>;
