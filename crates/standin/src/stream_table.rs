use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use crate::engine_batch::JobId;
use crate::engine_stream::EngineStream;

/// Streams that are kept after their end, so that a late reader finds them.
const KEPT_STREAMS: usize = 1_024;

/// The streams of an engine: those being made, and the newest that are over.
#[derive(Debug, Default)]
pub(crate) struct StreamTable {
    streams: HashMap<JobId, Arc<EngineStream>>,
    over: VecDeque<JobId>,
}

impl StreamTable {
    pub(crate) fn insert(&mut self, stream: Arc<EngineStream>) {
        self.streams.insert(stream.job, stream);
    }

    pub(crate) fn get(&self, job: JobId) -> Option<&Arc<EngineStream>> {
        self.streams.get(&job)
    }

    pub(crate) fn remove(&mut self, job: JobId) -> Option<Arc<EngineStream>> {
        self.streams.remove(&job)
    }

    /// Notes that a stream is over; forgets the oldest such one over the limit.
    pub(crate) fn mark_over(&mut self, job: JobId) {
        self.over.push_back(job);
        if self.over.len() > KEPT_STREAMS
            && let Some(oldest) = self.over.pop_front()
        {
            self.streams.remove(&oldest);
        }
    }
}
