//! Keeps connections to endpoints for calls whose answers can't be taken for others'. See
//! docs/design/two-customers.md.

mod connection_shelf;
mod kept_calls;

pub(super) use kept_calls::KeptCalls;
