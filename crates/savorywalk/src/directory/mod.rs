//! The directory of endpoints: who serves what, where, until when.
//! See docs/design/directory.md.

mod cache_event;
mod directory_actor;
mod endpoint_directory;
mod endpoint_record;
mod prefix_hash;

pub use cache_event::CacheEvent;
pub use directory_actor::{DirectoryHandle, start_directory};
pub use endpoint_directory::{AnnouncementOutcome, DirectorySnapshot, EndpointDirectory};
pub use endpoint_record::{
    AnnouncementError, EndpointAnnouncement, EndpointLoad, EndpointRecord, EndpointState,
    ModelEntry,
};
pub use prefix_hash::{MAX_PREFIX_BLOCKS, PREFIX_BLOCK_BYTES, PrefixHash, PrefixHashError};

/// Result of this module's fallible calls.
pub type Result<T> = std::result::Result<T, AnnouncementError>;
