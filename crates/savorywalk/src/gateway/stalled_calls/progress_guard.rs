use std::sync::{Mutex, MutexGuard, PoisonError};

use super::{ProgressTable, StallEnd};
use crate::prelude::*;

/// The progress table of this entry, shared by its calls.
#[derive(Clone, Debug, Default)]
pub(in crate::gateway) struct CallProgress(Arc<Mutex<ProgressTable>>);

/// One call in progress, until it is dropped.
#[derive(Debug)]
pub(in crate::gateway) struct ProgressGuard {
    progress: CallProgress,
    endpoint: Arc<str>,
}

impl CallProgress {
    fn table(&self) -> MutexGuard<'_, ProgressTable> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether an endpoint may replace one that has been silent for `stall`.
    pub(in crate::gateway) fn is_better(&self, endpoint: &str, stall: Duration) -> bool {
        self.table().is_better(Instant::now(), endpoint, stall)
    }

    /// Whether an endpoint is seen to be better off than one that has been silent for `stall`.
    pub(in crate::gateway) fn is_proven(&self, endpoint: &str, stall: Duration) -> bool {
        self.table().is_proven(Instant::now(), endpoint, stall)
    }

    /// Whether new requests should go to other endpoints, if there are any.
    pub(in crate::gateway) fn is_avoided(&self, now: Instant, endpoint: &str) -> bool {
        self.table().is_avoided(now, endpoint)
    }

    /// Number of endpoints with stalled calls.
    pub(in crate::gateway) fn stalled_count(&self) -> usize {
        self.table().stalled_count()
    }

    /// Records that a call to an endpoint has stalled.
    pub(in crate::gateway) fn begin_stall(&self, endpoint: &str) {
        self.table().begin_stall(endpoint);
    }

    /// Whether the silence of an endpoint is to be reported as a failure now.
    pub(in crate::gateway) fn take_failure(&self, endpoint: &str) -> bool {
        self.table().take_failure(endpoint)
    }

    /// Records that an endpoint answered no probe.
    pub(in crate::gateway) fn record_silent_probe(&self, endpoint: &str) {
        let now = Instant::now();
        self.table().record_silent_probe(now, endpoint);
    }

    /// Records that the stall of a call has ended, which was silent for `silence`.
    pub(in crate::gateway) fn end_stall(&self, endpoint: &str, end: StallEnd, silence: Duration) {
        let replaced_after = (end == StallEnd::Replaced).then_some(silence);
        self.table()
            .end_stall(Instant::now(), endpoint, replaced_after);
    }

    /// Records that a call begins at an endpoint.
    pub(in crate::gateway) fn begin(&self, endpoint: &str) -> ProgressGuard {
        let endpoint: Arc<str> = endpoint.into();
        self.table().begin(Instant::now(), &endpoint);
        ProgressGuard {
            progress: self.clone(),
            endpoint,
        }
    }
}

impl ProgressGuard {
    /// Records that the endpoint has sent something on the call.
    pub(in crate::gateway) fn record_heard(&self) {
        let now = Instant::now();
        self.progress.table().record_heard(now, &self.endpoint);
    }
}

impl Drop for ProgressGuard {
    fn drop(&mut self) {
        self.progress.table().end(&self.endpoint);
    }
}
