use super::Result;
use crate::consensus::{PersistBatch, RecoveredState};

/// What a replica keeps on its disk.
pub trait LogStorage: Send + 'static {
    /// Reads what the disk holds and makes it ready for writing.
    fn recover(&mut self) -> Result<RecoveredState>;

    /// Writes batches in order and syncs them with one sync.
    ///
    /// After an error nothing is known of what lasts: the replica must stop,
    /// and every further call fails.
    fn persist(&mut self, batches: &[PersistBatch]) -> Result<()>;
}
