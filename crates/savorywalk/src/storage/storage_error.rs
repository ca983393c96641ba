use crate::prelude::*;

/// Why the data folder can't be used.
#[derive(Debug, Error)]
pub enum StorageError {
    /// The operating system refused.
    #[error("can't {action} {file} in the data folder: {source}; check the disk and restart")]
    Io {
        /// What was tried.
        action: &'static str,
        /// The file.
        file: String,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The disk has no room.
    #[error("the disk is full while writing {file}; free space in the data folder and restart")]
    DiskFull {
        /// The file.
        file: String,
    },
    /// What was synced can't be read back.
    #[error(
        "{file} is damaged at byte {offset}; move the data folder away and restart, so that the \
         replica comes back under a new identity and catches up from the others"
    )]
    Damaged {
        /// The file.
        file: String,
        /// Where the damage begins.
        offset: u64,
    },
    /// A part of what was synced is not there.
    #[error(
        "{file} is missing; put it back from where it was moved, or move the rest of the data \
         folder away too and restart, so that the replica comes back under a new identity"
    )]
    Missing {
        /// The file.
        file: String,
    },
    /// Another version wrote the file.
    #[error("{file} has format {found}, this program reads {known}; run a version that reads it")]
    UnsupportedFormat {
        /// The file.
        file: String,
        /// Format of the file.
        found: u32,
        /// Format that this program reads.
        known: u32,
    },
    /// An earlier write or sync failed.
    #[error(
        "an earlier write or sync failed, so nothing more is written; check the disk and restart"
    )]
    Stopped,
    /// Another process holds the folder.
    #[error("another process uses the data folder; stop it, or name another data_folder")]
    InUse,
    /// The folder was made for another node.
    #[error(
        "the data folder belongs to node {found:?}, not {wanted:?}; correct name or data_folder"
    )]
    OtherNode {
        /// Node that the folder names.
        found: String,
        /// Node of the settings.
        wanted: String,
    },
}

impl StorageError {
    /// Tells what went wrong with `file`.
    pub(super) fn io(action: &'static str, file: &str, source: std::io::Error) -> Self {
        let file = file.to_string();
        match source.kind() {
            std::io::ErrorKind::StorageFull | std::io::ErrorKind::QuotaExceeded => {
                Self::DiskFull { file }
            }
            _ => Self::Io {
                action,
                file,
                source,
            },
        }
    }

    pub(super) fn damaged(file: &str, offset: usize) -> Self {
        Self::Damaged {
            file: file.to_string(),
            offset: offset as u64,
        }
    }
}
