use crate::prelude::*;

/// The first place at which an audit trail doesn't hold together.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AuditGap {
    /// A record is missing.
    #[error(
        "record {expected} is missing: {found} stands in its place; compare with an export or another control VM"
    )]
    Missing {
        /// Number that should come next.
        expected: u64,
        /// Number that came.
        found: u64,
    },
    /// A record doesn't follow from the one before.
    #[error(
        "record {sequence} doesn't follow from the one before it; one of the two was replaced: compare with an export or another control VM"
    )]
    Unlinked {
        /// Number of the record.
        sequence: u64,
    },
    /// A record was changed.
    #[error(
        "record {sequence} was changed after it was written; compare with an export or another control VM"
    )]
    Changed {
        /// Number of the record.
        sequence: u64,
    },
}
