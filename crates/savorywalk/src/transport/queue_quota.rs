use std::sync::atomic::{AtomicUsize, Ordering};

use super::LinkClass;
use super::link_limits::QUEUED_BYTES;
use crate::prelude::*;

/// Bytes that wait for all peers together. Detail may fill half of the quota,
/// updates three quarters, notices all of it: when many peers can't be
/// reached at once, load detail is dropped before leave notices.
#[derive(Debug, Default)]
pub(super) struct QueueQuota {
    used: AtomicUsize,
}

/// A share of the quota, given back when the message leaves the queue.
#[derive(Debug)]
pub(super) struct QuotaShare {
    quota: Arc<QueueQuota>,
    bytes: usize,
}

impl QueueQuota {
    /// Takes `bytes` for `class`; `None` when the class's part is used up.
    pub(super) fn take(self: &Arc<Self>, class: LinkClass, bytes: usize) -> Option<QuotaShare> {
        let limit = match class {
            LinkClass::Replication => usize::MAX,
            LinkClass::Notice => QUEUED_BYTES,
            LinkClass::Update => QUEUED_BYTES / 4 * 3,
            LinkClass::Detail => QUEUED_BYTES / 2,
        };
        let counted = if class.budgeted() { bytes } else { 0 };
        let before = self.used.fetch_add(counted, Ordering::Relaxed);
        let share = QuotaShare {
            quota: Arc::clone(self),
            bytes: counted,
        };
        (before.saturating_add(counted) <= limit).then_some(share)
    }
}

impl Drop for QuotaShare {
    fn drop(&mut self) {
        self.quota.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
