use std::sync::{Mutex, MutexGuard, PoisonError};

use super::stage_execution::ExecutionEnd;
use super::{
    AdmissionMode, AdmissionRefusal, BudgetDecision, DeadlineBudget, EstimateLine, EstimateTable,
    RefusalReason, RunProfile, ServiceSample, SizeClass, StageExecution, StageTimes,
};
use crate::directory::DirectoryHandle;
use crate::prelude::*;
use crate::queueing::{PoolQueue, QueueItem, QueueRefusal, QueueTable, StagePermit};

/// Assumed endpoint time of a stage without estimates. The permit replaces it with the
/// measured cost when the stage ends.
const DEFAULT_STAGE_COST: Duration = Duration::from_millis(20);

/// Admits requests by their estimated run time and queues their stages at the pools.
#[derive(Debug)]
pub struct AdmissionControl {
    mode: AdmissionMode,
    estimates: Mutex<EstimateTable>,
    queues: QueueTable,
    directory: DirectoryHandle,
}

impl AdmissionControl {
    /// Creates an admission control that reads the capacity of each pool from `directory`.
    pub fn new(mode: AdmissionMode, directory: DirectoryHandle) -> Self {
        Self {
            mode,
            estimates: Mutex::default(),
            queues: QueueTable::default(),
            directory,
        }
    }

    /// Queues of all pools, from which usage and status are reported.
    pub fn queues(&self) -> &QueueTable {
        &self.queues
    }

    /// All estimates that are fresh at `now`, as shown to operators.
    pub fn estimates(&self, now: Instant) -> Vec<EstimateLine> {
        self.lock().report(now)
    }

    /// Admits a new request, or refuses it at once if it is likely to miss its deadline.
    ///
    /// Some requests that the estimates would refuse are admitted as probes, which keep the
    /// estimates current. `profile.is_probe` is set for them, and no estimate ends them later.
    pub fn admit(&self, now: Instant, profile: &mut RunProfile) -> Result<(), AdmissionRefusal> {
        match self.mode {
            AdmissionMode::Passthrough => return Ok(()),
            AdmissionMode::Adaptive => {}
        }
        let pipeline = &profile.pipeline;
        let forecast = self.lock().forecast(now, pipeline, 0, profile.size);
        let budget = DeadlineBudget {
            remaining: profile.deadline.remaining(now),
            wait: self.total_wait(now, profile),
            forecast,
        };
        let retry_after = match budget.decision() {
            BudgetDecision::Fits => return Ok(()),
            BudgetDecision::WaitTooLong(retry_after) => retry_after,
            BudgetDecision::WorkTooLong(retry_after) => {
                profile.is_probe = self.try_start_probe(now, profile);
                if profile.is_probe {
                    return Ok(());
                }
                retry_after
            }
        };
        Err(AdmissionRefusal {
            reason: RefusalReason::DeadlineTooShort,
            retry_after,
        })
    }

    /// Waits for a permit for the stage at index `stage`, whose input has `own_size`.
    ///
    /// The queue's size limits refuse first stages only.
    pub async fn enter<'a>(
        &'a self,
        profile: &'a RunProfile,
        stage: usize,
        own_size: SizeClass,
    ) -> Result<StageExecution<'a>, AdmissionRefusal> {
        let (permit, deadline) = match self.mode {
            AdmissionMode::Passthrough => (None, profile.deadline),
            AdmissionMode::Adaptive => {
                let (permit, reserve) = self.acquire_permit(profile, stage, own_size).await?;
                (Some(permit), profile.deadline.with_reserve(reserve))
            }
        };
        Ok(StageExecution {
            control: self,
            profile,
            stage,
            own_size,
            started: super::monotonic_now(),
            deadline,
            permit,
            end: ExecutionEnd::CutOff,
        })
    }

    pub(super) fn record_sample(&self, now: Instant, sample: &ServiceSample<'_>) {
        match self.mode {
            AdmissionMode::Passthrough => {}
            AdmissionMode::Adaptive => self.lock().record_sample(now, sample),
        }
    }

    /// Returns the permit of a stage and the time to reserve for the later stages.
    async fn acquire_permit(
        &self,
        profile: &RunProfile,
        stage: usize,
        own_size: SizeClass,
    ) -> Result<(StagePermit, Duration), AdmissionRefusal> {
        let Some(plan) = profile.pipeline.stages.get(stage) else {
            return Err(missing_stage());
        };
        let now = super::monotonic_now();
        let mut times = self.times(now, profile, stage, own_size);
        let latest_start = profile.deadline.with_reserve(times.rest.lower_bound());
        let is_infeasible = latest_start.has_passed(now);
        if profile.is_probe || (is_infeasible && self.try_start_probe(now, profile)) {
            times = StageTimes {
                cost: times.cost,
                ..StageTimes::default()
            };
        }
        let item = profile.item(&times, stage > 0);
        let queue = self.queues.pool(&plan.pool);
        queue.observe(now, self.directory.snapshot().pool(&plan.pool));
        let permit = match queue.enqueue(now, &item) {
            Ok(wait) => wait.permit().await,
            Err(refusal) => Err(refusal),
        };
        match permit {
            Ok(permit) => Ok((permit, times.later.lower_bound())),
            Err(refusal) => Err(admission_refusal(refusal, &queue, &item)),
        }
    }

    fn times(
        &self,
        now: Instant,
        profile: &RunProfile,
        stage: usize,
        own_size: SizeClass,
    ) -> StageTimes {
        let pipeline = &profile.pipeline;
        let estimates = self.lock();
        let own = pipeline.stages.get(stage);
        let own = own.and_then(|plan| estimates.stage(now, &pipeline.name, &plan.name, own_size));
        let later = estimates.forecast(now, pipeline, stage + 1, profile.size);
        let mut rest = later;
        if let Some(own) = &own {
            rest.add(own);
        }
        StageTimes {
            cost: own.map_or(DEFAULT_STAGE_COST, |own| own.mean()),
            rest,
            later,
        }
    }

    fn try_start_probe(&self, now: Instant, profile: &RunProfile) -> bool {
        let pipeline = &profile.pipeline.name;
        self.lock().try_start_probe(now, pipeline, profile.size)
    }

    /// Sum of the expected queueing times of a new request at all its pools.
    fn total_wait(&self, now: Instant, profile: &RunProfile) -> Duration {
        let times = StageTimes {
            cost: DEFAULT_STAGE_COST,
            ..StageTimes::default()
        };
        let item = profile.item(&times, false);
        let stages = profile.pipeline.stages.iter();
        stages
            .map(|stage| self.queues.expected_wait(now, &stage.pool, &item))
            .sum()
    }

    fn lock(&self) -> MutexGuard<'_, EstimateTable> {
        self.estimates
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn admission_refusal(
    refusal: QueueRefusal,
    queue: &Arc<PoolQueue>,
    item: &QueueItem<'_>,
) -> AdmissionRefusal {
    let reason = match refusal {
        QueueRefusal::Full => RefusalReason::TooMany,
        QueueRefusal::OverShare => RefusalReason::OverShare,
        QueueRefusal::Expired => RefusalReason::DeadlineTooShort,
    };
    AdmissionRefusal {
        reason,
        retry_after: queue.expected_wait(super::monotonic_now(), item),
    }
}

/// Refusal for a stage index that the pipeline does not have, which is a caller's bug.
fn missing_stage() -> AdmissionRefusal {
    AdmissionRefusal {
        reason: RefusalReason::NoEndpoint,
        retry_after: Duration::ZERO,
    }
}
