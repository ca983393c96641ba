use super::gateway_node::GatewayNode;
use super::plan_admission::PlanAdmission;
use super::work_shard::{WorkKind, WorkShard};
use super::workspace_shares::largest;
use crate::generated::work::UsageNotice;
use crate::generated::work::work_notice::Notice;
use crate::prelude::*;

/// Interval between notices: short compared with a burst of five seconds.
const NOTICE_INTERVAL: Duration = Duration::from_secs(1);

/// Notices between two log lines of a shard in which plans wait.
const LOG_NOTICES: u32 = 3;

/// Workspaces in a log line.
const MAX_LOGGED: usize = 8;

/// Sums by workspace, as of the last notice or log line.
type UsageSums = FastMap<Arc<str>, Duration>;

/// Puts weights in force, exchanges usage with the coordinators of other shards, and reports
/// to operators, as long as the admission of a shard runs. See
/// docs/design/workspace-shares.md.
pub(super) async fn run(
    node: Arc<GatewayNode>,
    shard: WorkShard,
    plan_admission: Arc<PlanAdmission>,
) {
    let mut counted = UsageSums::default();
    let mut logged = UsageSums::default();
    for tick in 0_u32.. {
        node.apply_share_rules(&plan_admission);
        node.send_usage(&shard, &plan_admission);
        node.count_usage(&plan_admission, &mut counted);
        if tick % LOG_NOTICES == 0 {
            log_shares(&shard, &plan_admission, &mut logged);
        }
        tokio::time::sleep(NOTICE_INTERVAL).await;
    }
}

impl GatewayNode {
    /// Applies the usage that a coordinator has sent to all shards that this entry coordinates.
    /// Another coordinator of the same shard counts as well: what it began, this one did not.
    pub(super) fn adopt_usage(&self, notice: &UsageNotice) {
        let now = Instant::now();
        for (_, plan_admission) in self.all_plan_admissions() {
            plan_admission.with_waiting(|waiting| {
                if let Some(queues) = waiting.queues_mut() {
                    queues.adopt(now, notice);
                }
            });
        }
    }

    fn apply_share_rules(&self, plan_admission: &PlanAdmission) {
        let view = self.view.load_full();
        let workspaces = view.table.iter().flat_map(|table| table.workspaces());
        let rules = workspaces.map(|workspace| (workspace.name.as_str().into(), workspace.share));
        let rules: FastMap<Arc<str>, _> = rules.collect();
        plan_admission.with_waiting(|waiting| {
            if let Some(queues) = waiting.queues_mut() {
                queues.set_rules(rules);
            }
        });
    }

    fn send_usage(&self, shard: &WorkShard, plan_admission: &PlanAdmission) {
        let notice =
            plan_admission.with_waiting(|waiting| waiting.queues_mut()?.next_notice(shard.name()));
        let Some(notice) = notice else {
            return;
        };
        self.adopt_usage(&notice);
        let view = self.view.load_full();
        let shards = view.shard_map(WorkKind::Stages, "");
        let coordinators = shards
            .shards()
            .filter_map(|shard| self.exchange.coordinator(&view, WorkKind::Stages, shard));
        for coordinator in coordinators.collect::<BTreeSet<_>>() {
            if !self
                .exchange
                .notify(&coordinator, Notice::Usage(notice.clone()))
            {
                log_event!(debug, "usage_notice_lost", to = coordinator);
            }
        }
    }

    fn count_usage(&self, plan_admission: &PlanAdmission, counted: &mut UsageSums) {
        let sums = plan_admission.with_waiting(|waiting| usage_sums(waiting.queues()));
        let grown = sums.iter().map(|(workspace, used)| {
            let known = counted.get(workspace).copied().unwrap_or_default();
            (Arc::clone(workspace), used.saturating_sub(known))
        });
        let grown = grown.filter(|(_, used)| !used.is_zero());
        self.metrics.record_workspace_work(grown.collect());
        *counted = sums;
    }
}

fn usage_sums(queues: Option<&super::workspace_shares::WorkspaceQueues>) -> UsageSums {
    let usage = queues.into_iter().flat_map(|queues| queues.usage());
    usage
        .map(|(workspace, used)| (Arc::clone(workspace), used))
        .collect()
}

/// Logs the shares of the largest workspaces if plans wait.
fn log_shares(shard: &WorkShard, plan_admission: &PlanAdmission, logged: &mut UsageSums) {
    let now = Instant::now();
    let report = plan_admission.with_waiting(|waiting| {
        let queues = waiting.queues()?;
        let largest = largest(now, waiting, queues, logged, MAX_LOGGED);
        *logged = usage_sums(Some(queues));
        let count = queues.ledger().len();
        (!waiting.is_empty()).then(|| (largest, waiting.len(), count))
    });
    let Some((largest, waiting, known)) = report else {
        return;
    };
    let largest: Vec<String> = largest.iter().map(ToString::to_string).collect();
    log_event!(
        info,
        "workspace_shares",
        shard = shard.name(),
        waiting = waiting,
        known = known,
        largest = largest.join(";")
    );
}
