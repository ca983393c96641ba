//! Consensus is the project's own replicated log: elections, replication, snapshots,
//! membership changes, as a state machine without I/O. See docs/design/consensus.md.
