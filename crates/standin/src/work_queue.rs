use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The slots of a stage pool's worker or plain service, and its bounded queue.
#[derive(Debug)]
pub(crate) struct WorkQueue {
    slots: Arc<Semaphore>,
    slot_count: u32,
    waiting: AtomicU32,
    limit: u32,
}

/// Counts one request in the queue until it is dropped.
struct WaitGuard<'a> {
    queue: &'a WorkQueue,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.queue.waiting.fetch_sub(1, Ordering::SeqCst);
    }
}

impl WorkQueue {
    pub(crate) fn new(slots: u32, limit: u32) -> Self {
        Self {
            slots: Arc::new(Semaphore::new(slots as usize)),
            slot_count: slots,
            waiting: AtomicU32::new(0),
            limit,
        }
    }

    /// Waits for a slot, in order of arrival; `None` when the queue is full.
    pub(crate) async fn enter(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(permit) = Arc::clone(&self.slots).try_acquire_owned() {
            return Some(permit);
        }
        let before = self.waiting.fetch_add(1, Ordering::SeqCst);
        let _waiting = WaitGuard { queue: self };
        if before >= self.limit {
            return None;
        }
        Arc::clone(&self.slots).acquire_owned().await.ok()
    }

    /// Requests in progress.
    pub(crate) fn running(&self) -> u32 {
        let free = self.slots.available_permits() as u32;
        self.slot_count.saturating_sub(free)
    }

    /// Requests that wait.
    pub(crate) fn queued(&self) -> u32 {
        self.waiting.load(Ordering::SeqCst)
    }
}
