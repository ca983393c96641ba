use crate::consensus::{
    FrameRecord, HardState, LogEntry, LogFrame, RecoveredState, SnapshotMark, SnapshotRecord,
};

/// Puts the state together from the newest snapshot and the frames in order.
#[derive(Debug, Default)]
pub(super) struct LogReplay {
    hard_state: HardState,
    snapshot: Option<SnapshotRecord>,
    /// Term that the log has at the snapshot's index, when it reaches there.
    joined_term: Option<u64>,
    entries: Vec<LogEntry>,
}

/// A frame does not follow from those before it.
#[derive(Debug)]
pub(super) struct ReplayGap;

impl LogReplay {
    pub(super) fn new(snapshot: Option<SnapshotRecord>) -> Self {
        let joined_term = snapshot.is_none().then_some(0);
        Self {
            snapshot,
            joined_term,
            ..Self::default()
        }
    }

    fn base_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }

    pub(super) fn push_frame(&mut self, frame: LogFrame) -> Result<(), ReplayGap> {
        let records = frame.records.into_iter();
        records.into_iter().try_for_each(|record| self.push(record))
    }

    fn push(&mut self, record: FrameRecord) -> Result<(), ReplayGap> {
        if let Some(hard_state) = record.hard_state {
            self.hard_state = hard_state;
        }
        if let Some(mark) = record.snapshot {
            self.push_mark(mark)?;
        }
        let entries = record.entries.into_iter();
        entries
            .into_iter()
            .try_for_each(|entry| self.push_entry(entry))
    }

    fn push_mark(&mut self, mark: SnapshotMark) -> Result<(), ReplayGap> {
        let base = self.base_index();
        if mark.index > base {
            return Err(ReplayGap);
        }
        if mark.replaces_log {
            self.entries.clear();
            self.joined_term = None;
        }
        if mark.index == base {
            self.joined_term = Some(mark.term);
        }
        Ok(())
    }

    fn push_entry(&mut self, entry: LogEntry) -> Result<(), ReplayGap> {
        let base = self.base_index();
        if entry.index <= base {
            self.entries.clear();
            self.joined_term = (entry.index == base).then_some(entry.term);
            return Ok(());
        }
        let place = (entry.index - base - 1) as usize;
        if place > self.entries.len() {
            return Err(ReplayGap);
        }
        self.entries.truncate(place);
        self.entries.push(entry);
        Ok(())
    }

    /// The state; entries that don't join the snapshot are left out.
    pub(super) fn finish(self) -> RecoveredState {
        let base_term = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.term);
        let joins = self.joined_term == Some(base_term);
        RecoveredState {
            hard_state: self.hard_state,
            snapshot: self.snapshot,
            entries: if joins { self.entries } else { Vec::new() },
        }
    }
}
