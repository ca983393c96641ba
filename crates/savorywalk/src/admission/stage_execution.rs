use super::{AdmissionControl, RequestDeadline, RunProfile, ServiceSample, SizeClass};
use crate::prelude::*;
use crate::queueing::StagePermit;

/// A stage that holds its permit and may run.
///
/// Dropping it without a result, for instance because the caller left, returns the permit. The
/// time so far is still recorded, as a lower bound of the stage's service time.
#[derive(Debug)]
pub struct StageExecution<'a> {
    pub(super) control: &'a AdmissionControl,
    pub(super) profile: &'a RunProfile,
    pub(super) stage: usize,
    pub(super) own_size: SizeClass,
    pub(super) started: Instant,
    pub(super) deadline: RequestDeadline,
    pub(super) permit: Option<StagePermit>,
    pub(super) end: ExecutionEnd,
}

/// How an execution ended, which decides what is recorded in the estimates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExecutionEnd {
    /// The stage gave its result; its service time is recorded.
    Finished,
    /// The stage was ended before its result; its time is recorded as a lower bound.
    CutOff,
    /// The stage failed; its time is not recorded, because it is unrelated to the service time.
    Failed,
}

impl StageExecution<'_> {
    /// Deadline of the stage: that of the request, less the time reserved for later stages.
    pub fn deadline(&self) -> RequestDeadline {
        self.deadline
    }

    /// Ends the execution with a result that took `cost` of endpoint time.
    pub fn finish(mut self, cost: Duration) {
        self.end = ExecutionEnd::Finished;
        self.complete_permit(cost);
    }

    /// Ends the execution without a result after `cost` of endpoint time. A timeout counts as
    /// cut off rather than failed.
    pub fn fail(mut self, cost: Duration, timed_out: bool) {
        if !timed_out {
            self.end = ExecutionEnd::Failed;
        }
        self.complete_permit(cost);
    }

    fn complete_permit(&mut self, cost: Duration) {
        if let Some(permit) = self.permit.take() {
            permit.complete(cost);
        }
    }
}

impl Drop for StageExecution<'_> {
    fn drop(&mut self) {
        let Some(stage) = self.profile.pipeline.stages.get(self.stage) else {
            return;
        };
        let finished = match self.end {
            ExecutionEnd::Finished => true,
            ExecutionEnd::CutOff => false,
            ExecutionEnd::Failed => return,
        };
        let now = super::monotonic_now();
        let sample = ServiceSample {
            pipeline: &self.profile.pipeline.name,
            stage: &stage.name,
            request_size: self.profile.size,
            own_size: self.own_size,
            service: now.saturating_duration_since(self.started),
            finished,
        };
        self.control.record_sample(now, &sample);
    }
}
