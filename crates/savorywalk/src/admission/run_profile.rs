use super::{RequestDeadline, SizeClass, StageTimes};
use crate::configuration::{PipelinePlan, WorkspacePlan};
use crate::prelude::*;
use crate::queueing::QueueItem;

/// What admission knows of a request through its whole run.
#[derive(Clone, Debug)]
pub struct RunProfile {
    /// Workspace that pays.
    pub workspace: Arc<WorkspacePlan>,
    /// The pipeline.
    pub pipeline: Arc<PipelinePlan>,
    /// When the request must be answered.
    pub deadline: RequestDeadline,
    /// Size of the request as it arrived.
    pub size: SizeClass,
    /// Rank among the workspace's own requests, higher first.
    pub priority: u8,
    /// True when it runs to try estimates that would have refused it.
    pub is_probe: bool,
}

impl RunProfile {
    /// The request as its pool's queue sees it, for a stage with these times.
    pub(super) fn item(&self, times: &StageTimes, started: bool) -> QueueItem<'_> {
        QueueItem {
            workspace: &self.workspace.name,
            weight: self.workspace.share,
            priority: self.priority,
            deadline: self.deadline.ends(),
            latest_start: self.deadline.leaving(times.rest.least()).ends(),
            likely_start: self.deadline.leaving(times.rest.likely()).ends(),
            cost: times.cost,
            started,
        }
    }
}
