use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::Result;
use crate::arrival_plan::PlannedRequest;
use crate::pipeline_caller::{CallOutcome, PipelineCaller};

/// What came of one planned request.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    pub(crate) at: Duration,
    pub(crate) workspace: String,
    pub(crate) outcome: CallOutcome,
    /// From the planned arrival, so that a late driver counts against the run.
    pub(crate) elapsed: Duration,
}

/// Sends requests to entries, open loop or closed loop.
#[derive(Clone, Debug)]
pub(crate) struct LoadDriver {
    pub(crate) caller: PipelineCaller,
    pub(crate) entries: Vec<SocketAddr>,
    pub(crate) deadline: Duration,
}

impl LoadDriver {
    /// Sends each request at its planned time, whatever became of the others.
    pub(crate) async fn open_loop(&self, plan: Vec<PlannedRequest>) -> Result<Vec<RequestRecord>> {
        let start = Instant::now();
        let mut calls = JoinSet::new();
        let mut records = Vec::with_capacity(plan.len());
        for (index, planned) in plan.into_iter().enumerate() {
            tokio::time::sleep_until(start + planned.at).await;
            let driver = self.clone();
            calls.spawn(async move { driver.record(start, index, planned).await });
            while let Some(record) = calls.try_join_next() {
                records.push(record?);
            }
        }
        while let Some(record) = calls.join_next().await {
            records.push(record?);
        }
        Ok(records)
    }

    /// Keeps `callers` requests in progress for `span`; gives the answers a
    /// second after `warm_up`.
    pub(crate) async fn closed_loop(
        &self,
        plan: Vec<PlannedRequest>,
        callers: usize,
        warm_up: Duration,
        span: Duration,
    ) -> Result<f64> {
        let plan = Arc::new(plan);
        let next = Arc::new(AtomicU64::new(0));
        let answered = Arc::new(AtomicU64::new(0));
        let start = Instant::now();
        let mut loops = JoinSet::new();
        for _ in 0..callers {
            let (driver, plan) = (self.clone(), Arc::clone(&plan));
            let (next, answered) = (Arc::clone(&next), Arc::clone(&answered));
            loops.spawn(async move {
                while start.elapsed() < warm_up + span {
                    let index = next.fetch_add(1, Ordering::Relaxed) as usize;
                    let planned = plan[index % plan.len()].clone();
                    let record = driver.record(Instant::now(), index, planned).await;
                    let counts = start.elapsed() >= warm_up && start.elapsed() < warm_up + span;
                    if counts && record.outcome == CallOutcome::Answered {
                        answered.fetch_add(1, Ordering::Relaxed);
                    }
                }
            });
        }
        while let Some(ended) = loops.join_next().await {
            ended?;
        }
        Ok(answered.load(Ordering::Relaxed) as f64 / span.as_secs_f64())
    }

    async fn record(&self, start: Instant, index: usize, planned: PlannedRequest) -> RequestRecord {
        let entry = self.entries[planned.entry % self.entries.len()];
        let key = format!("bench-{index}");
        let outcome = self.caller.call(entry, &planned, &key, self.deadline).await;
        RequestRecord {
            elapsed: start.elapsed().saturating_sub(planned.at),
            at: planned.at,
            workspace: planned.workspace,
            outcome,
        }
    }
}
