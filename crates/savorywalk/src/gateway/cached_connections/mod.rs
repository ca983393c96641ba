//! Caches connections to endpoints for calls whose answers can't be mistaken for those of other
//! calls. See docs/design/two-customers.md.

mod connection_cache;
mod idle_connections;

pub(super) use connection_cache::ConnectionCache;
