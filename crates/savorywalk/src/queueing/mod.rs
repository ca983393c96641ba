//! Queueing shares capacity between workspaces. See docs/design/fair-queueing.md.
