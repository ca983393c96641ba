use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::header::HeaderValue;
use savorywalk::directory::{CacheEvent, PrefixHash};
use serde_json::Value;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::engine_batch::{EngineBatch, EngineJob, JobId};
use crate::engine_stream::EngineStream;
use crate::stream_table::StreamTable;
use crate::{EndpointCounts, FaultSwitch, StandinOptions, endpoint_work};

/// How far the engine may fall behind its own clock before it gives up on
/// catching up, as on a machine that was busy.
const MAX_LAG: Duration = Duration::from_millis(50);

/// A model engine: the batch and its streams, driven by one task.
#[derive(Debug)]
pub(crate) struct ModelEngine {
    batch: Mutex<EngineBatch>,
    streams: Mutex<StreamTable>,
    next_job: AtomicU64,
    work_arrived: Notify,
    resume_window: Duration,
}

impl ModelEngine {
    pub(crate) fn new(options: &StandinOptions) -> Self {
        Self {
            batch: Mutex::new(EngineBatch::new(options)),
            streams: Mutex::default(),
            next_job: AtomicU64::new(0),
            work_arrived: Notify::new(),
            resume_window: options.resume_window,
        }
    }

    /// Takes a completion; `None` when its queue is full.
    pub(crate) fn submit(
        &self,
        request: &Value,
        attempt: Option<HeaderValue>,
    ) -> Option<Arc<EngineStream>> {
        let prompt = request["prompt"].as_str().unwrap_or_default();
        let events = endpoint_work::completion_events(request);
        let job = EngineJob {
            id: self.next_job.fetch_add(1, Ordering::Relaxed),
            priority: request["priority"].as_i64().unwrap_or_default(),
            prompt_bytes: prompt.len(),
            prefixes: PrefixHash::of_blocks(prompt.as_bytes()),
            tokens: events.len(),
        };
        let stream = Arc::new(EngineStream::new(job.id, attempt, events));
        self.streams().insert(Arc::clone(&stream));
        let id = job.id;
        if !self.batch().submit(job) {
            self.streams().remove(id);
            return None;
        }
        self.work_arrived.notify_one();
        Some(stream)
    }

    /// The stream of a job, also after its end.
    pub(crate) fn stream(&self, job: JobId) -> Option<Arc<EngineStream>> {
        self.streams().get(job).cloned()
    }

    /// Stops a job and forgets its stream.
    pub(crate) fn cancel(&self, job: JobId) {
        if let Some(stream) = self.streams().remove(job) {
            stream.cancel();
        }
        self.batch().cancel(job);
    }

    /// Cancels a stream to which no reader comes back in time.
    pub(crate) async fn cancel_if_abandoned(&self, stream: &EngineStream) {
        tokio::time::sleep(self.resume_window).await;
        if stream.readers() == 0 && !stream.is_over() {
            self.cancel(stream.job);
        }
    }

    /// Requests in progress and waiting.
    pub(crate) fn load(&self) -> (usize, usize) {
        let batch = self.batch();
        (batch.running(), batch.queued())
    }

    pub(crate) fn take_cache_events(&self) -> Vec<CacheEvent> {
        self.batch().take_cache_events()
    }

    pub(crate) fn cached_tokens(&self, prefix: PrefixHash) -> Option<u32> {
        self.batch().cached_tokens(prefix)
    }

    pub(crate) fn import_prefix(&self, prefix: PrefixHash, tokens: u32) {
        self.batch().import_prefix(prefix, tokens);
    }

    /// Drives the batch until the task is dropped.
    pub(crate) async fn run(&self, counts: &EndpointCounts, faults: &FaultSwitch) {
        let mut due = Instant::now();
        loop {
            let step = self.batch().step();
            let Some(step) = step else {
                self.work_arrived.notified().await;
                due = Instant::now();
                continue;
            };
            due += step.span.mul_f64(faults.get().slowness());
            if step.span.is_zero() {
                tokio::task::yield_now().await;
            } else {
                tokio::time::sleep_until(due).await;
            }
            due = due.max(Instant::now() - MAX_LAG);
            self.deliver(&step.progressed, counts);
        }
    }

    fn deliver(&self, progressed: &[JobId], counts: &EndpointCounts) {
        let mut streams = self.streams();
        for job in progressed {
            let Some(stream) = streams.get(*job) else {
                continue;
            };
            if stream.advance() {
                counts.ran.fetch_add(1, Ordering::SeqCst);
                streams.mark_over(*job);
            }
        }
    }

    fn batch(&self) -> MutexGuard<'_, EngineBatch> {
        self.batch.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn streams(&self) -> MutexGuard<'_, StreamTable> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
