//! Which pool and software version began a stream, so that it continues only there: the events of
//! two versions do not fit together. See docs/design/stream-origins.md.

mod forward_origin;
mod origin_exchange;
mod origin_homes;
#[cfg(test)]
mod origin_load_tests;
mod origin_lookup;
mod origin_table;
mod route_history;
mod stream_origin;
mod version_history;

pub(super) use origin_exchange::{OriginExchange, OriginGuard, run_refresh};
pub(super) use origin_homes::origin_homes;
pub(super) use origin_lookup::{FoundOrigin, StreamQuestion};
pub(super) use origin_table::OriginTable;
pub(super) use route_history::RouteHistory;
pub(super) use stream_origin::{OnlyOrigin, StreamKey, StreamOrigin};
pub use version_history::VersionHistory;
