//! Storage keeps what must outlast the process under one data folder.
//! See docs/design/storage.md.

mod data_folder;
mod disk_folder;
mod log_replay;
mod log_storage;
mod os_folder;
mod sealed_file;
mod segment_scan;
mod segmented_log;
#[cfg(test)]
pub(crate) mod simulated_folder;
mod storage_error;

pub use data_folder::DataFolder;
pub use disk_folder::DiskFolder;
pub use log_storage::LogStorage;
pub use os_folder::OsFolder;
pub use segmented_log::{SegmentOptions, SegmentedLog};
pub use storage_error::StorageError;

/// Result of this module's fallible calls.
pub type Result<T> = std::result::Result<T, StorageError>;
