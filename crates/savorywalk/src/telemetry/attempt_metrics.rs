use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};

use crate::attempt::StageCounts;

/// Metrics of attempts, by pool.
#[derive(Clone, Debug)]
pub struct AttemptMetrics {
    extra: Counter<u64>,
    stalls: Counter<u64>,
    dropped: Counter<u64>,
    ejections: Counter<u64>,
}

impl AttemptMetrics {
    /// Sets up the instruments.
    pub fn new(meter: &Meter) -> Self {
        Self {
            extra: meter
                .u64_counter("savorywalk_extra_attempts")
                .with_description("Attempts beyond a stage's first")
                .build(),
            stalls: meter
                .u64_counter("savorywalk_stalled_attempts")
                .with_description("Attempts that made no progress for too long")
                .build(),
            dropped: meter
                .u64_counter("savorywalk_dropped_answers")
                .with_description("Answers and events that came late or twice")
                .build(),
            ejections: meter
                .u64_counter("savorywalk_endpoint_ejections")
                .with_description("Endpoints taken out of routing for failing")
                .build(),
        }
    }

    /// Counts what became of one stage's attempts.
    pub fn record_counts(&self, pool: &str, counts: StageCounts) {
        self.add(&self.extra, pool, "reason", "retry", counts.retries);
        self.add(&self.extra, pool, "reason", "hedge", counts.hedges);
        self.add(&self.extra, pool, "reason", "resume", counts.resumes);
        self.add(&self.stalls, pool, "reason", "no_progress", counts.stalls);
        self.add(&self.dropped, pool, "reason", "late", counts.late);
        self.add(&self.dropped, pool, "reason", "doubled", counts.duplicates);
    }

    /// Counts an endpoint that was ejected from its pool.
    pub fn record_ejection(&self, pool: &str) {
        let labels = [KeyValue::new("pool", pool.to_string())];
        self.ejections.add(1, &labels);
    }

    fn add(
        &self,
        counter: &Counter<u64>,
        pool: &str,
        key: &'static str,
        value: &'static str,
        count: u32,
    ) {
        if count > 0 {
            counter.add(count.into(), &labels(pool, key, value));
        }
    }
}

fn labels(pool: &str, key: &'static str, value: &'static str) -> [KeyValue; 2] {
    [
        KeyValue::new("pool", pool.to_string()),
        KeyValue::new(key, value),
    ]
}
