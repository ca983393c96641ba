use std::thread;

use tokio::sync::{mpsc, watch};

use super::PersistBatch;
use crate::prelude::*;
use crate::storage::{LogStorage, StorageError};

/// Most batches that wait for the disk; the driver waits when there are more.
const QUEUE_BATCHES: usize = 1_024;

/// A thread that writes batches, as many with one sync as have come in.
///
/// Syncs block for milliseconds, so they stay off the threads that run tasks.
#[derive(Debug)]
pub(super) struct DiskWriter {
    queue: mpsc::Sender<PersistBatch>,
    progress: watch::Receiver<DiskProgress>,
}

/// How far the disk is.
#[derive(Clone, Debug)]
pub(super) enum DiskProgress {
    /// All batches up to this number are synced.
    Synced(u64),
    /// A write or sync failed; nothing more is written.
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

    /// Hands a batch over; one that comes after a failure is dropped.
    pub(super) async fn write(&self, batch: PersistBatch) {
        if self.queue.send(batch).await.is_err() {
            log_event!(debug, "disk_writer_gone");
        }
    }

    /// Waits until the disk is further; `None` once the thread has ended.
    pub(super) async fn progress(&mut self) -> Option<DiskProgress> {
        self.progress.changed().await.ok()?;
        Some(self.progress.borrow_and_update().clone())
    }

    /// Waits until all is written and the storage is closed.
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
