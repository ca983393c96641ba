//! The audit trail of changes. See docs/design/audit.md.
