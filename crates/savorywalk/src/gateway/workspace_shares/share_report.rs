use super::{WaitingPlans, WorkspaceQueues};
use crate::prelude::*;

/// State of one workspace at a scheduler, for operators.
#[derive(Clone, Debug, PartialEq)]
pub(in crate::gateway) struct WorkspaceReport {
    workspace: Arc<str>,
    weight: f64,
    /// Part of the endpoint time begun since the report before.
    share: f64,
    waiting: usize,
    longest_wait: Duration,
}

impl fmt::Display for WorkspaceReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}:weight={},share={:.3},waiting={},longest_wait_ms={}",
            self.workspace,
            self.weight,
            self.share,
            self.waiting,
            self.longest_wait.as_millis()
        )
    }
}

/// Returns the reports of the `count` workspaces that have used most since `before`, the sums
/// of the report before. Those that wait without having used anything come next.
pub(in crate::gateway) fn largest(
    now: Instant,
    plans: &WaitingPlans,
    queues: &WorkspaceQueues,
    before: &FastMap<Arc<str>, Duration>,
    count: usize,
) -> Vec<WorkspaceReport> {
    let mut rows: FastMap<Arc<str>, (Duration, usize, Duration)> = FastMap::default();
    for (workspace, used) in queues.usage() {
        let known = before.get(workspace).copied().unwrap_or_default();
        let row = rows.entry(Arc::clone(workspace)).or_default();
        row.0 = used.saturating_sub(known);
    }
    for (plan, since) in plans.iter() {
        let row = rows.entry(Arc::clone(&plan.workspace)).or_default();
        row.1 += 1;
        row.2 = row.2.max(now.saturating_duration_since(since));
    }
    let total: Duration = rows.values().map(|(used, _, _)| *used).sum();
    let mut rows: Vec<_> = rows.into_iter().collect();
    rows.sort_by(|(left_name, left), (right_name, right)| {
        right.cmp(left).then_with(|| left_name.cmp(right_name))
    });
    rows.truncate(count);
    let reports =
        rows.into_iter().map(
            |(workspace, (used, waiting, longest_wait))| WorkspaceReport {
                weight: queues.ledger().rule(&workspace).weight,
                share: used.as_secs_f64() / total.as_secs_f64().max(f64::MIN_POSITIVE),
                workspace,
                waiting,
                longest_wait,
            },
        );
    reports.collect()
}
