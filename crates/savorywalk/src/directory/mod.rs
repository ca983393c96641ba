//! The directory of endpoints: who serves what, where, until when.
//! See docs/design/directory.md.

mod directory_actor;
mod endpoint_directory;
mod endpoint_record;

pub use directory_actor::{DirectoryHandle, start_directory};
pub use endpoint_directory::{AnnouncementOutcome, DirectorySnapshot, EndpointDirectory};
pub use endpoint_record::{
    AnnouncementError, EndpointAnnouncement, EndpointLoad, EndpointRecord, EndpointState,
    ModelEntry,
};

/// Result of this module's fallible calls.
pub type Result<T> = std::result::Result<T, AnnouncementError>;
