//! A disk for tests that loses what is not synced, tears writes, fails and fills up.

use std::io::{self, ErrorKind};
use std::sync::{Mutex, MutexGuard};

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::DiskFolder;
use crate::prelude::*;

const SECTOR_BYTES: usize = 64;

/// A folder of a simulated disk; clones are the same folder.
#[derive(Clone, Debug, Default)]
pub(crate) struct SimulatedFolder {
    disk: Arc<Mutex<DiskState>>,
}

#[derive(Clone, Debug, Default)]
struct DiskState {
    files: Vec<FileState>,
    names: BTreeMap<String, usize>,
    synced_names: BTreeMap<String, usize>,
    free_bytes: Option<usize>,
    syncs_before_failure: Option<u32>,
}

#[derive(Clone, Debug, Default)]
struct FileState {
    bytes: Vec<u8>,
    synced: Vec<u8>,
}

impl SimulatedFolder {
    fn disk(&self) -> MutexGuard<'_, DiskState> {
        self.disk.lock().unwrap()
    }

    /// Another folder with the same files.
    pub(crate) fn copy(&self) -> Self {
        let disk = self.disk().clone();
        let disk = Arc::new(Mutex::new(disk));
        Self { disk }
    }

    /// Loses power: unsynced writes stay, vanish or are torn, as `random` says.
    pub(crate) fn crash(&self, random: &mut ChaCha8Rng) {
        let mut disk = self.disk();
        if random.random_bool(0.5) {
            disk.names = disk.synced_names.clone();
        }
        for file in &mut disk.files {
            file.crash(random);
        }
        disk.synced_names = disk.names.clone();
        disk.syncs_before_failure = None;
    }

    /// Lets the next sync but `count` fail.
    pub(crate) fn fail_sync_after(&self, count: u32) {
        self.disk().syncs_before_failure = Some(count);
    }

    /// Lets syncs work again.
    pub(crate) fn heal(&self) {
        self.disk().syncs_before_failure = None;
    }

    /// Leaves room for so many bytes, or for all.
    pub(crate) fn set_free_bytes(&self, free: Option<usize>) {
        self.disk().free_bytes = free;
    }

    /// Turns one bit over in what is on the disk.
    pub(crate) fn flip_bit(&self, name: &str, offset: usize) {
        let mut disk = self.disk();
        let file = disk.file(name).unwrap();
        file.bytes[offset] ^= 0x10;
        file.synced = file.bytes.clone();
    }
}

impl DiskState {
    fn file(&mut self, name: &str) -> io::Result<&mut FileState> {
        let place = self.names.get(name).copied();
        let place = place.ok_or(ErrorKind::NotFound)?;
        Ok(&mut self.files[place])
    }

    fn take_space(&mut self, bytes: usize) -> io::Result<()> {
        let Some(free) = &mut self.free_bytes else {
            return Ok(());
        };
        *free = free.checked_sub(bytes).ok_or(ErrorKind::StorageFull)?;
        Ok(())
    }

    fn count_sync(&mut self) -> io::Result<()> {
        match &mut self.syncs_before_failure {
            None => Ok(()),
            Some(0) => Err(io::Error::other("simulated")),
            Some(count) => {
                *count -= 1;
                Ok(())
            }
        }
    }
}

impl FileState {
    fn crash(&mut self, random: &mut ChaCha8Rng) {
        if self.bytes == self.synced {
            return;
        }
        let shorter = self.bytes.len().min(self.synced.len());
        let longer = self.bytes.len().max(self.synced.len());
        let length = random.random_range(shorter..=longer);
        let mut left = vec![0; length];
        for start in (0..length).step_by(SECTOR_BYTES) {
            let source = match random.random_bool(0.5) {
                true => &self.bytes,
                false => &self.synced,
            };
            let end = (start + SECTOR_BYTES).min(length).min(source.len());
            if start < end {
                left[start..end].copy_from_slice(&source[start..end]);
            }
        }
        self.bytes = left.clone();
        self.synced = left;
    }
}

impl DiskFolder for SimulatedFolder {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.disk().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        Ok(self.disk().file(name)?.bytes.clone())
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let mut disk = self.disk();
        let place = disk.files.len();
        disk.files.push(FileState::default());
        disk.names.insert(name.to_string(), place);
        Ok(())
    }

    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let mut disk = self.disk();
        disk.take_space(bytes.len())?;
        let file = disk.file(name)?;
        let (start, end) = (offset as usize, offset as usize + bytes.len());
        let length = file.bytes.len().max(end);
        file.bytes.resize(length, 0);
        file.bytes[start..end].copy_from_slice(bytes);
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.disk().file(name)?.bytes.truncate(length as usize);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut disk = self.disk();
        disk.count_sync()?;
        let file = disk.file(name)?;
        file.synced = file.bytes.clone();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut disk = self.disk();
        let place = disk.names.remove(from).ok_or(ErrorKind::NotFound)?;
        disk.names.insert(to.to_string(), place);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut disk = self.disk();
        disk.names.remove(name).ok_or(ErrorKind::NotFound)?;
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut disk = self.disk();
        disk.count_sync()?;
        disk.synced_names = disk.names.clone();
        Ok(())
    }
}
