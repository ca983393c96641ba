use std::collections::BTreeMap;
use std::time::Duration;

use savorywalk::directory::{CacheEvent, PREFIX_BLOCK_BYTES, PrefixHash};

use crate::prefix_cache::PrefixCache;
use crate::{StandinOptions, endpoint_work};

/// Identity of a job within its engine.
pub(crate) type JobId = u64;

/// One completion for the engine to make.
#[derive(Clone, Debug)]
pub(crate) struct EngineJob {
    pub(crate) id: JobId,
    /// Lower goes first, as in the engines' own format.
    pub(crate) priority: i64,
    pub(crate) prompt_bytes: usize,
    pub(crate) prefixes: Vec<PrefixHash>,
    pub(crate) tokens: usize,
}

#[derive(Debug)]
struct RunningJob {
    job: EngineJob,
    prefill_left: Duration,
    made: usize,
}

/// One step of the whole batch.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct BatchStep {
    /// How long the step takes.
    pub(crate) span: Duration,
    /// Jobs that have one more token when it is over.
    pub(crate) progressed: Vec<JobId>,
}

/// Continuous batching without I/O: jobs join and leave between steps, each
/// step makes one token for each job whose prompt is read, and takes longer
/// the more jobs there are.
#[derive(Debug)]
pub(crate) struct EngineBatch {
    options: StandinOptions,
    cache: PrefixCache,
    waiting: BTreeMap<(i64, u64), EngineJob>,
    running: Vec<RunningJob>,
    arrivals: u64,
}

impl EngineBatch {
    /// An idle engine.
    pub(crate) fn new(options: &StandinOptions) -> Self {
        Self {
            options: options.clone(),
            cache: PrefixCache::new(options.cache_blocks),
            waiting: BTreeMap::new(),
            running: Vec::new(),
            arrivals: 0,
        }
    }

    /// Takes a job; false when as many wait as may.
    pub(crate) fn submit(&mut self, job: EngineJob) -> bool {
        let waits = self.running.len() >= self.options.slots as usize;
        if waits && self.waiting.len() >= self.options.queue_limit as usize {
            return false;
        }
        self.arrivals += 1;
        self.waiting.insert((job.priority, self.arrivals), job);
        true
    }

    /// Forgets a job; false when it is not there.
    pub(crate) fn cancel(&mut self, id: JobId) -> bool {
        let before = self.waiting.len() + self.running.len();
        self.waiting.retain(|_, job| job.id != id);
        self.running.retain(|running| running.job.id != id);
        before > self.waiting.len() + self.running.len()
    }

    /// Jobs in progress.
    pub(crate) fn running(&self) -> usize {
        self.running.len()
    }

    /// Jobs that wait for a slot.
    pub(crate) fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Cache events since the last call.
    pub(crate) fn take_cache_events(&mut self) -> Vec<CacheEvent> {
        self.cache.take_events()
    }

    /// Length in tokens of a prefix that is held.
    pub(crate) fn cached_tokens(&self, prefix: PrefixHash) -> Option<u32> {
        self.cache.tokens(prefix)
    }

    /// Takes over a prefix from another engine.
    pub(crate) fn import_prefix(&mut self, prefix: PrefixHash, tokens: u32) {
        self.cache.import(prefix, tokens);
    }

    /// Begins the next step; `None` when there is nothing to do.
    pub(crate) fn step(&mut self) -> Option<BatchStep> {
        self.admit();
        let span = self.span()?;
        let mut progressed = Vec::new();
        for running in &mut self.running {
            if running.prefill_left.is_zero() {
                running.made += 1;
                progressed.push(running.job.id);
            } else {
                running.prefill_left = running.prefill_left.saturating_sub(span);
            }
        }
        self.running
            .retain(|running| running.made < running.job.tokens);
        Some(BatchStep { span, progressed })
    }

    fn admit(&mut self) {
        while self.running.len() < self.options.slots as usize {
            let Some((_, job)) = self.waiting.pop_first() else {
                return;
            };
            let prefill_left = self.prefill_time(&job);
            self.cache.insert(&job.prefixes);
            self.running.push(RunningJob {
                job,
                prefill_left,
                made: 0,
            });
        }
    }

    fn prefill_time(&self, job: &EngineJob) -> Duration {
        let held = self.cache.held_blocks(&job.prefixes) * PREFIX_BLOCK_BYTES;
        endpoint_work::start_time(&self.options, job.prompt_bytes - held)
    }

    /// While a job makes tokens a step is one token long, otherwise as long as
    /// the first of the prompts takes to read.
    fn span(&self) -> Option<Duration> {
        let shortest = self.running.iter().map(|running| running.prefill_left);
        let shortest = shortest.min()?;
        if shortest.is_zero() {
            return Some(endpoint_work::token_time(&self.options, self.running.len()));
        }
        Some(shortest)
    }
}

#[cfg(test)]
#[path = "engine_batch_tests.rs"]
mod tests;
