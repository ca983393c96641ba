use super::{RequestDeadline, SizeClass, StageTimes};
use crate::configuration::{PipelinePlan, WorkspacePlan};
use crate::prelude::*;
use crate::queueing::QueueItem;

/// Properties of a request that admission uses from its arrival to its answer.
#[derive(Clone, Debug)]
pub struct RunProfile {
    /// Workspace that the request is charged to.
    pub workspace: Arc<WorkspacePlan>,
    /// Pipeline that the request runs.
    pub pipeline: Arc<PipelinePlan>,
    /// When the request must be answered.
    pub deadline: RequestDeadline,
    /// Size of the request as it arrived.
    pub size: SizeClass,
    /// Priority among the requests of the workspace; higher values go first.
    pub priority: u8,
    /// Whether the request is a probe, admitted although the estimates would refuse it.
    pub is_probe: bool,
}

impl RunProfile {
    /// Queue entry of a stage with these times. `started` is true if an earlier stage of the
    /// request has run.
    pub(super) fn item(&self, times: &StageTimes, started: bool) -> QueueItem<'_> {
        QueueItem {
            workspace: &self.workspace.name,
            weight: self.workspace.share,
            priority: self.priority,
            deadline: self.deadline.ends(),
            latest_start: self.deadline.with_reserve(times.rest.lower_bound()).ends(),
            likely_start: self.deadline.with_reserve(times.rest.likely()).ends(),
            cost: times.cost,
            started,
        }
    }
}
