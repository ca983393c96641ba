use super::{FrameRecord, HardState, LogEntry, SnapshotMark, SnapshotRecord};

/// State that a replica must sync before it sends a message that depends on it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistBatch {
    /// Number of the batch, reported back once it is synced.
    pub sequence: u64,
    /// Term, vote and cluster number, if one of them changed.
    pub hard_state: Option<HardState>,
    /// New snapshot, if there is one; it takes effect before the entries.
    pub snapshot: Option<SnapshotRecord>,
    /// Whether that snapshot replaces the whole log rather than only its beginning.
    pub replaces_log: bool,
    /// Entries to write. One whose index is in the log replaces that entry and all after it.
    pub entries: Vec<LogEntry>,
}

impl PersistBatch {
    /// The record for the log file; it only marks the snapshot, which has a file of its own.
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

/// State that a replica reads from its disk when it starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecoveredState {
    /// Term, vote and cluster number; all zero on a new disk.
    pub hard_state: HardState,
    /// The newest snapshot, if one was taken or received.
    pub snapshot: Option<SnapshotRecord>,
    /// Entries after the snapshot, in the order of their indexes.
    pub entries: Vec<LogEntry>,
}
