use std::sync::atomic::{AtomicUsize, Ordering};

use crate::prelude::*;

/// Something in progress on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionUse {
    /// A call to the peer.
    OwnCall,
    /// A call of the peer.
    ServedCall,
    /// A stream of bytes, from either end.
    Stream,
}

/// What is in progress on a connection.
#[derive(Debug, Default)]
pub(super) struct ConnectionUses {
    own_calls: AtomicUsize,
    served_calls: AtomicUsize,
    streams: AtomicUsize,
}

impl ConnectionUses {
    fn counter(&self, kind: ConnectionUse) -> &AtomicUsize {
        match kind {
            ConnectionUse::OwnCall => &self.own_calls,
            ConnectionUse::ServedCall => &self.served_calls,
            ConnectionUse::Stream => &self.streams,
        }
    }

    /// Number of uses of one kind.
    pub(super) fn count(&self, kind: ConnectionUse) -> usize {
        self.counter(kind).load(Ordering::Relaxed)
    }

    /// Whether nothing is in progress.
    pub(super) fn is_empty(&self) -> bool {
        let kinds = [
            ConnectionUse::OwnCall,
            ConnectionUse::ServedCall,
            ConnectionUse::Stream,
        ];
        kinds.into_iter().all(|kind| self.count(kind) == 0)
    }
}

/// Counts one use of a connection until it is dropped.
#[derive(Debug)]
pub(super) struct UseGuard {
    uses: Arc<ConnectionUses>,
    kind: ConnectionUse,
}

impl UseGuard {
    /// Counts one more use.
    pub(super) fn enter(uses: &Arc<ConnectionUses>, kind: ConnectionUse) -> Self {
        uses.counter(kind).fetch_add(1, Ordering::Relaxed);
        Self {
            uses: Arc::clone(uses),
            kind,
        }
    }
}

impl Drop for UseGuard {
    fn drop(&mut self) {
        self.uses.counter(self.kind).fetch_sub(1, Ordering::Relaxed);
    }
}
