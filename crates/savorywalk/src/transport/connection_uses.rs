use std::sync::atomic::{AtomicUsize, Ordering};

use crate::prelude::*;

/// What is in progress on a connection, from either end.
#[derive(Debug, Default)]
pub(super) struct ConnectionUses {
    calls: AtomicUsize,
    streams: AtomicUsize,
}

impl ConnectionUses {
    /// Whether nothing is in progress.
    pub(super) fn is_empty(&self) -> bool {
        self.calls.load(Ordering::Relaxed) == 0 && !self.has_streams()
    }

    /// Whether a stream of bytes is in progress.
    pub(super) fn has_streams(&self) -> bool {
        self.streams.load(Ordering::Relaxed) > 0
    }
}

/// Counts a call in progress on a connection until it is dropped.
#[derive(Debug)]
pub(super) struct CallGuard {
    uses: Arc<ConnectionUses>,
}

impl CallGuard {
    /// Counts one more call.
    pub(super) fn enter(uses: &Arc<ConnectionUses>) -> Self {
        uses.calls.fetch_add(1, Ordering::Relaxed);
        Self {
            uses: Arc::clone(uses),
        }
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.uses.calls.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a stream of bytes in progress on a connection until it is dropped.
#[derive(Debug)]
pub(super) struct StreamGuard {
    uses: Arc<ConnectionUses>,
}

impl StreamGuard {
    /// Counts one more stream.
    pub(super) fn enter(uses: &Arc<ConnectionUses>) -> Self {
        uses.streams.fetch_add(1, Ordering::Relaxed);
        Self {
            uses: Arc::clone(uses),
        }
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.uses.streams.fetch_sub(1, Ordering::Relaxed);
    }
}
