//! Claims make a non-idempotent request run at most once. See docs/design/claims.md.
