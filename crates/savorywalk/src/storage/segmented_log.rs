use super::log_replay::LogReplay;
use super::segment_scan::{self, SEGMENT_HEADER_BYTES, SegmentScan};
use super::{DiskFolder, LogStorage, Result, StorageError, sealed_file};
use crate::consensus::{
    FrameRecord, HardState, LogFrame, PersistBatch, RecoveredState, SnapshotMark, SnapshotRecord,
};
use crate::prelude::*;

const SEGMENT_ENDING: &str = ".seg";
const SNAPSHOT_ENDING: &str = ".snap";

/// Bounds of the log on disk.
#[derive(Clone, Copy, Debug)]
pub struct SegmentOptions {
    /// Size at which a segment is closed and the next one is begun, in bytes.
    pub segment_bytes: usize,
}

impl Default for SegmentOptions {
    fn default() -> Self {
        Self {
            segment_bytes: 8 * 1024 * 1024,
        }
    }
}

/// The log in checksummed segments, with its snapshots, in one folder.
#[derive(Debug)]
pub struct SegmentedLog<F> {
    folder: F,
    options: SegmentOptions,
    /// Segments in order; the last one is written.
    segments: VecDeque<SegmentFile>,
    sequence: u64,
    hard_state: HardState,
    mark: Option<SnapshotMark>,
    has_failed: bool,
}

#[derive(Debug)]
struct SegmentFile {
    number: u64,
    /// Length of the part that is whole.
    bytes: usize,
    /// Largest index of the entries in it.
    max_index: u64,
}

impl<F: DiskFolder> SegmentedLog<F> {
    /// The log in `folder`; [`LogStorage::recover`] reads it.
    pub fn new(folder: F, options: SegmentOptions) -> Self {
        Self {
            folder,
            options,
            segments: VecDeque::new(),
            sequence: 0,
            hard_state: HardState::default(),
            mark: None,
            has_failed: false,
        }
    }

    /// Writes the first segment of a new log.
    pub(super) fn found(&mut self) -> Result<()> {
        self.begin_segment(1)
    }

    /// Whether any part of a log is there.
    pub(super) fn is_present(&self) -> Result<bool> {
        let names = self.names()?;
        Ok(names.iter().any(|name| segment_number(name).is_some()))
    }

    /// Whether the log is only the beginning that [`Self::found`] made.
    pub(super) fn is_unused(&mut self) -> Result<bool> {
        let state = self.recover()?;
        self.segments.clear();
        self.sequence = 0;
        Ok(state == RecoveredState::default())
    }

    pub(super) fn folder_mut(&mut self) -> &mut F {
        &mut self.folder
    }

    fn names(&self) -> Result<Vec<String>> {
        let failed = |error| StorageError::io("list", ".", error);
        let mut names = self.folder.list().map_err(failed)?;
        names.sort();
        Ok(names)
    }

    fn recover_all(&mut self) -> Result<RecoveredState> {
        let names = self.names()?;
        self.remove_temporary(&names)?;
        let snapshot = self.read_snapshot(&names)?;
        let mut replay = LogReplay::new(snapshot.clone());
        let numbers: Vec<u64> = names
            .iter()
            .filter_map(|name| segment_number(name))
            .collect();
        self.check_numbers(&numbers)?;
        for (place, number) in numbers.iter().enumerate() {
            let is_last = place + 1 == numbers.len();
            self.recover_segment(*number, is_last, &mut replay)?;
        }
        let state = replay.finish();
        self.hard_state = state.hard_state;
        self.mark = snapshot.as_ref().map(mark_of);
        match numbers.last() {
            Some(last) => self.rewrite_last(*last)?,
            None => self.begin_segment(1)?,
        }
        Ok(state)
    }

    fn remove_temporary(&mut self, names: &[String]) -> Result<()> {
        let left = names
            .iter()
            .filter(|name| name.ends_with(sealed_file::TEMPORARY_ENDING));
        for name in left {
            let failed = |error| StorageError::io("remove", name, error);
            self.folder.remove(name).map_err(failed)?;
        }
        Ok(())
    }

    fn read_snapshot(&self, names: &[String]) -> Result<Option<SnapshotRecord>> {
        let newest = names.iter().rfind(|name| name.ends_with(SNAPSHOT_ENDING));
        newest
            .map(|name| sealed_file::read(&self.folder, name))
            .transpose()
    }

    fn check_numbers(&self, numbers: &[u64]) -> Result<()> {
        let gap = numbers.windows(2).find(|pair| pair[1] != pair[0] + 1);
        match gap {
            Some(pair) => Err(missing(pair[0] + 1)),
            None => Ok(()),
        }
    }

    fn recover_segment(
        &mut self,
        number: u64,
        is_last: bool,
        replay: &mut LogReplay,
    ) -> Result<()> {
        let name = segment_name(number);
        let failed = |error| StorageError::io("read", &name, error);
        let bytes = self.folder.read(&name).map_err(failed)?;
        let first = (self.sequence > 0).then_some(self.sequence + 1);
        let scan = segment_scan::scan(&name, number, &bytes, first)?;
        if !is_last && !scan.is_clean {
            return Err(StorageError::damaged(&name, scan.whole_bytes));
        }
        self.record_segment(number, &scan);
        let is_first = self.segments.len() == 1;
        for frame in scan.frames {
            let failed = |_| match is_first {
                true => missing(number.saturating_sub(1)),
                false => StorageError::damaged(&name, scan.whole_bytes),
            };
            replay.push_frame(frame).map_err(failed)?;
        }
        Ok(())
    }

    fn record_segment(&mut self, number: u64, scan: &SegmentScan) {
        let records = scan.frames.iter().flat_map(|frame| &frame.records);
        let indexes = records.flat_map(|record| record.entries.iter().map(|entry| entry.index));
        self.sequence = self.sequence.max(scan.last_sequence);
        self.segments.push_back(SegmentFile {
            number,
            bytes: scan.whole_bytes,
            max_index: indexes.max().unwrap_or(0),
        });
    }

    /// Writes the whole part of the last segment anew and syncs it.
    ///
    /// After a failed sync the system may show bytes that never reached the
    /// disk and that no further sync would write; see docs/design/storage.md.
    fn rewrite_last(&mut self, number: u64) -> Result<()> {
        let name = segment_name(number);
        let whole = self.segments.back().map_or(0, |segment| segment.bytes);
        if whole < SEGMENT_HEADER_BYTES {
            self.segments.pop_back();
            return self.begin_segment(number);
        }
        let failed = |error| StorageError::io("read", &name, error);
        let mut bytes = self.folder.read(&name).map_err(failed)?;
        bytes.truncate(whole);
        self.write_whole(&name, &bytes)
    }

    fn write_whole(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        let temporary = format!("{name}{}", sealed_file::TEMPORARY_ENDING);
        let failed = |action| move |error| StorageError::io(action, name, error);
        let folder = &mut self.folder;
        folder.create(&temporary).map_err(failed("create"))?;
        folder
            .write_at(&temporary, 0, bytes)
            .map_err(failed("write"))?;
        folder.sync(&temporary).map_err(failed("sync"))?;
        folder.rename(&temporary, name).map_err(failed("rename"))?;
        folder.sync_folder().map_err(failed("sync the name of"))
    }

    /// Begins a segment with what the deleted ones before it may have held.
    fn begin_segment(&mut self, number: u64) -> Result<()> {
        let name = segment_name(number);
        let mut bytes = segment_scan::encode_header(number);
        self.sequence += 1;
        let first = LogFrame {
            records: vec![FrameRecord {
                hard_state: Some(self.hard_state),
                snapshot: self.mark,
                entries: Vec::new(),
            }],
        };
        bytes.extend(segment_scan::encode_frame(number, self.sequence, &first));
        self.write_whole(&name, &bytes)?;
        self.segments.push_back(SegmentFile {
            number,
            bytes: bytes.len(),
            max_index: 0,
        });
        Ok(())
    }

    fn persist_all(&mut self, batches: &[PersistBatch]) -> Result<()> {
        let snapshots = batches.iter().filter_map(|batch| batch.snapshot.as_ref());
        let newest = snapshots.max_by_key(|snapshot| snapshot.index);
        if let Some(snapshot) = newest {
            sealed_file::write(&mut self.folder, &snapshot_name(snapshot.index), snapshot)?;
        }
        self.write_frame(batches)?;
        if let Some(snapshot) = newest {
            self.mark = Some(mark_of(snapshot));
            self.remove_covered(snapshot.index)?;
        }
        self.rotate()
    }

    fn write_frame(&mut self, batches: &[PersistBatch]) -> Result<()> {
        let frame = LogFrame {
            records: batches.iter().map(PersistBatch::to_frame).collect(),
        };
        let Some(segment) = self.segments.back_mut() else {
            return Err(StorageError::Stopped);
        };
        self.sequence += 1;
        let name = segment_name(segment.number);
        let bytes = segment_scan::encode_frame(segment.number, self.sequence, &frame);
        let marker = segment_scan::encode_marker(segment.number, self.sequence);
        let failed = |action| {
            let name = &name;
            move |error| StorageError::io(action, name, error)
        };
        let start = segment.bytes as u64;
        let end = start + bytes.len() as u64;
        let folder = &mut self.folder;
        folder
            .write_at(&name, start, &bytes)
            .map_err(failed("write"))?;
        folder.sync(&name).map_err(failed("sync"))?;
        folder
            .write_at(&name, end, &marker)
            .map_err(failed("write"))?;
        segment.bytes = end as usize;
        for batch in batches {
            let last = batch.entries.last().map_or(0, |entry| entry.index);
            segment.max_index = segment.max_index.max(last);
            if let Some(hard_state) = batch.hard_state {
                self.hard_state = hard_state;
            }
        }
        Ok(())
    }

    /// Removes segments and snapshots that the snapshot at `index` covers.
    fn remove_covered(&mut self, index: u64) -> Result<()> {
        let newest = snapshot_name(index);
        let names = self.names()?;
        let snapshots = names.iter().filter(|name| name.ends_with(SNAPSHOT_ENDING));
        for name in snapshots.filter(|name| **name < newest) {
            self.remove(name)?;
        }
        while self.segments.len() > 1 {
            match self.segments.front() {
                Some(segment) if segment.max_index <= index => {
                    self.remove(&segment_name(segment.number))?;
                    self.segments.pop_front();
                }
                Some(_) | None => break,
            }
        }
        Ok(())
    }

    fn remove(&mut self, name: &str) -> Result<()> {
        let failed = |error| StorageError::io("remove", name, error);
        self.folder.remove(name).map_err(failed)?;
        self.folder.sync_folder().map_err(failed)
    }

    /// Closes a segment that has grown large and begins the next one.
    fn rotate(&mut self) -> Result<()> {
        let Some(segment) = self.segments.back() else {
            return Ok(());
        };
        if segment.bytes < self.options.segment_bytes {
            return Ok(());
        }
        let (number, bytes) = (segment.number, segment.bytes as u64);
        let name = segment_name(number);
        let failed = |action| {
            let name = &name;
            move |error| StorageError::io(action, name, error)
        };
        self.folder
            .truncate(&name, bytes)
            .map_err(failed("truncate"))?;
        self.folder.sync(&name).map_err(failed("sync"))?;
        self.begin_segment(number + 1)
    }
}

impl<F: DiskFolder> LogStorage for SegmentedLog<F> {
    fn recover(&mut self) -> Result<RecoveredState> {
        if self.has_failed {
            return Err(StorageError::Stopped);
        }
        self.segments.clear();
        self.sequence = 0;
        let recovered = self.recover_all();
        self.has_failed = recovered.is_err();
        recovered
    }

    fn persist(&mut self, batches: &[PersistBatch]) -> Result<()> {
        if self.has_failed {
            return Err(StorageError::Stopped);
        }
        if batches.is_empty() {
            return Ok(());
        }
        let persisted = self.persist_all(batches);
        self.has_failed = persisted.is_err();
        persisted
    }
}

fn mark_of(snapshot: &SnapshotRecord) -> SnapshotMark {
    SnapshotMark {
        index: snapshot.index,
        term: snapshot.term,
        replaces_log: false,
    }
}

fn missing(number: u64) -> StorageError {
    StorageError::Missing {
        file: segment_name(number),
    }
}

fn segment_name(number: u64) -> String {
    format!("log-{number:016x}{SEGMENT_ENDING}")
}

fn segment_number(name: &str) -> Option<u64> {
    let digits = name.strip_prefix("log-")?.strip_suffix(SEGMENT_ENDING)?;
    u64::from_str_radix(digits, 16).ok()
}

fn snapshot_name(index: u64) -> String {
    format!("snapshot-{index:016x}{SNAPSHOT_ENDING}")
}

#[cfg(test)]
#[path = "segmented_log_tests.rs"]
mod tests;
