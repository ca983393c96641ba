use std::fs::{File, OpenOptions};
use std::path::Path;

use super::{
    DiskFolder, LogStorage, OsFolder, Result, SegmentOptions, SegmentedLog, StorageError,
    sealed_file,
};
use crate::consensus::{IdentityRecord, NodeNumber, PersistBatch, RecoveredState, ReplicaId};
use crate::prelude::*;

const IDENTITY_FILE: &str = "identity";
const LOCK_FILE: &str = "lock";

/// A replica's data folder: its identity, its log, and a lock on both.
#[derive(Debug)]
pub struct DataFolder {
    /// Identity of the replica; a new folder has a new one.
    pub id: ReplicaId,
    /// The log; [`super::LogStorage::recover`] reads it.
    pub log: SegmentedLog<OsFolder>,
    /// Keeps other processes out while it is held.
    pub lock: FolderLock,
}

/// Keeps other processes out of a data folder until it is dropped.
#[derive(Debug)]
pub struct FolderLock {
    file: File,
}

impl Drop for FolderLock {
    fn drop(&mut self) {
        // Closing alone would leave the lock to a copy of the handle in a child.
        if let Err(error) = self.file.unlock() {
            log_event!(warn, "folder_lock_kept", reason = error);
        }
    }
}

impl DataFolder {
    /// Opens the data folder of `node`, or makes it.
    ///
    /// `incarnation` must be random: it tells a new folder from a lost one.
    pub fn open(path: &Path, node: &str, incarnation: u32) -> Result<Self> {
        Self::open_as(path, node, NodeNumber::from_name(node), incarnation)
    }

    /// Like [`Self::open`], for a node whose number is not made from its name.
    pub fn open_as(path: &Path, node: &str, number: NodeNumber, incarnation: u32) -> Result<Self> {
        let failed = |error| StorageError::io("open", ".", error);
        let folder = OsFolder::open(path).map_err(failed)?;
        let lock = FolderLock::take(path)?;
        let mut log = SegmentedLog::new(folder, SegmentOptions::default());
        let id = match read_identity(&mut log)? {
            Some(identity) => known(&identity, node)?,
            None => found(&mut log, node, ReplicaId::new(number, incarnation.max(1)))?,
        };
        Ok(Self { id, log, lock })
    }
}

impl LogStorage for DataFolder {
    fn recover(&mut self) -> Result<RecoveredState> {
        self.log.recover()
    }

    fn persist(&mut self, batches: &[PersistBatch]) -> Result<()> {
        self.log.persist(batches)
    }
}

impl FolderLock {
    fn take(path: &Path) -> Result<Self> {
        let failed = |error| StorageError::io("open", LOCK_FILE, error);
        let mut options = OpenOptions::new();
        options.create(true).write(true).truncate(false);
        let file = options.open(path.join(LOCK_FILE)).map_err(failed)?;
        match file.try_lock() {
            Ok(()) => Ok(Self { file }),
            Err(std::fs::TryLockError::WouldBlock) => Err(StorageError::InUse),
            Err(std::fs::TryLockError::Error(error)) => Err(failed(error)),
        }
    }
}

fn read_identity(log: &mut SegmentedLog<OsFolder>) -> Result<Option<IdentityRecord>> {
    let failed = |error| StorageError::io("list", ".", error);
    let names = log.folder_mut().list().map_err(failed)?;
    let has_identity = names.iter().any(|name| name == IDENTITY_FILE);
    if has_identity && !log.is_present()? {
        let file = "the log".to_string();
        return Err(StorageError::Missing { file });
    }
    let read = || sealed_file::read(log.folder_mut(), IDENTITY_FILE);
    has_identity.then(read).transpose()
}

fn known(identity: &IdentityRecord, node: &str) -> Result<ReplicaId> {
    if identity.node != node {
        return Err(StorageError::OtherNode {
            found: identity.node.clone(),
            wanted: node.to_string(),
        });
    }
    Ok(ReplicaId::from_u64(identity.replica))
}

/// Makes a new folder: first an empty log, then the identity that vouches for it.
fn found(log: &mut SegmentedLog<OsFolder>, node: &str, id: ReplicaId) -> Result<ReplicaId> {
    if log.is_present()? && !log.is_unused()? {
        let file = IDENTITY_FILE.to_string();
        return Err(StorageError::Missing { file });
    }
    log.found()?;
    let identity = IdentityRecord {
        replica: id.as_u64(),
        node: node.to_string(),
    };
    sealed_file::write(log.folder_mut(), IDENTITY_FILE, &identity)?;
    log_event!(info, "identity_made", replica = id, node = node);
    Ok(id)
}

#[cfg(test)]
#[path = "data_folder_tests.rs"]
mod tests;
