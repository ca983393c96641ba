use std::thread;

use tokio::sync::{mpsc, watch};

use super::PersistBatch;
use crate::prelude::*;
use crate::storage::{LogStorage, StorageError};

/// Longest queue of batches for the disk; the driver waits while it is full.
const QUEUE_BATCHES: usize = 1_024;

/// A thread that writes batches; all batches in the queue share one sync.
///
/// Syncs block for milliseconds, so they run outside the threads of the async runtime.
#[derive(Debug)]
pub(super) struct DiskWriter {
    queue: mpsc::Sender<PersistBatch>,
    progress: watch::Receiver<DiskProgress>,
}

/// Progress of the disk thread.
#[derive(Clone, Debug)]
pub(super) enum DiskProgress {
    /// All batches up to this number are synced.
    Synced(u64),
    /// A write or sync failed; no further batch is written.
    Failed(Arc<StorageError>),
}

impl DiskWriter {
    pub(super) fn start(storage: impl LogStorage) -> std::io::Result<Self> {
        let (queue, batches) = mpsc::channel(QUEUE_BATCHES);
        let (report, progress) = watch::channel(DiskProgress::Synced(0));
        let work = move || write_all(storage, batches, &report);
        thread::Builder::new()
            .name("replica-disk".into())
            .spawn(work)?;
        Ok(Self { queue, progress })
    }

    /// Queues a batch; it is dropped if the thread has ended after a failure.
    pub(super) async fn write(&self, batch: PersistBatch) {
        if self.queue.send(batch).await.is_err() {
            log_event!(debug, "disk_writer_gone");
        }
    }

    /// Waits for the next progress; `None` once the thread has ended.
    pub(super) async fn progress(&mut self) -> Option<DiskProgress> {
        self.progress.changed().await.ok()?;
        Some(self.progress.borrow_and_update().clone())
    }

    /// Waits until all queued batches are written and the storage is closed.
    pub(super) async fn close(self) {
        let Self {
            queue,
            mut progress,
        } = self;
        drop(queue);
        while progress.changed().await.is_ok() {}
    }
}

fn write_all(
    mut storage: impl LogStorage,
    mut batches: mpsc::Receiver<PersistBatch>,
    report: &watch::Sender<DiskProgress>,
) {
    while let Some(first) = batches.blocking_recv() {
        let mut group = vec![first];
        while let Ok(next) = batches.try_recv() {
            group.push(next);
        }
        let sequence = group.last().map_or(0, |batch| batch.sequence);
        let progress = match storage.persist(&group) {
            Ok(()) => DiskProgress::Synced(sequence),
            Err(error) => DiskProgress::Failed(Arc::new(error)),
        };
        let has_failed = matches!(progress, DiskProgress::Failed(_));
        report.send_replace(progress);
        if has_failed {
            break;
        }
    }
    drop(storage);
}
