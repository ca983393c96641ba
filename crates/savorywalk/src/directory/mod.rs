//! The directory of endpoints: who serves what, where, until when, at every
//! entry of a region. See docs/design/directory.md.

mod cache_event;
mod directory_actor;
mod directory_answers;
mod directory_core;
mod directory_error;
mod directory_event;
mod directory_intake;
mod directory_link;
mod directory_requests;
mod directory_spread;
mod directory_timing;
mod endpoint_detail;
mod endpoint_directory;
mod endpoint_record;
mod key_index;
mod load_bucket;
mod pool_totals;
mod prefix_hash;
#[cfg(test)]
mod test_region;
mod transit_clock;
mod usage_book;
mod usage_collector;
mod workspace_usage;

pub use cache_event::CacheEvent;
pub use directory_actor::{DirectoryHandle, start_directory};
pub use directory_core::DirectoryCore;
pub use directory_error::DirectoryError;
pub use directory_event::{DirectoryAction, DirectoryEvent};
pub use directory_link::DirectoryLink;
pub use directory_timing::{DirectoryTiming, MAX_SPREAD_LEASE};
pub use endpoint_directory::{
    AnnouncementOutcome, DirectorySnapshot, EndpointDirectory, TOMBSTONE,
};
pub use endpoint_record::{
    AnnouncementError, EndpointAnnouncement, EndpointLoad, EndpointRecord, EndpointState,
    ModelEntry,
};
pub use load_bucket::LoadBucket;
pub use pool_totals::{PoolTotals, RegionTotal};
pub use prefix_hash::{MAX_PREFIX_BLOCKS, PREFIX_BLOCK_BYTES, PrefixHash, PrefixHashError};
pub use usage_book::UsageBook;
pub use workspace_usage::WorkspaceUsage;

/// Result of this module's fallible calls; most are about announcements.
pub type Result<T, E = AnnouncementError> = std::result::Result<T, E>;
