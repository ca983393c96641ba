use super::{FrameRecord, HardState, LogEntry, SnapshotMark, SnapshotRecord};

/// What a replica wants on its disk before it says anything that rests on it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistBatch {
    /// Number of the batch, told back once it is synced.
    pub sequence: u64,
    /// Election state, when it changed.
    pub hard_state: Option<HardState>,
    /// A snapshot that takes effect before the entries.
    pub snapshot: Option<SnapshotRecord>,
    /// True when that snapshot replaces the whole log, not only its beginning.
    pub replaces_log: bool,
    /// Entries; an index already held replaces it and all after it.
    pub entries: Vec<LogEntry>,
}

impl PersistBatch {
    /// The part that goes into the log; the snapshot has a file of its own.
    pub fn to_frame(&self) -> FrameRecord {
        let mark = self.snapshot.as_ref().map(|snapshot| SnapshotMark {
            index: snapshot.index,
            term: snapshot.term,
            replaces_log: self.replaces_log,
        });
        FrameRecord {
            hard_state: self.hard_state,
            snapshot: mark,
            entries: self.entries.clone(),
        }
    }
}

/// What a replica finds on its disk when it starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecoveredState {
    /// Election state; all zero on a new disk.
    pub hard_state: HardState,
    /// The newest snapshot.
    pub snapshot: Option<SnapshotRecord>,
    /// Entries after the snapshot, in order.
    pub entries: Vec<LogEntry>,
}
