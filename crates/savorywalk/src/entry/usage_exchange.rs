use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval};

use super::EntryNode;
use super::usage_names::UsageNames;
use crate::directory::WorkspaceUsage;
use crate::prelude::*;

/// How often the queues are asked what they gave; the directory gathers it
/// until its own, longer interval ends.
const DRAIN_INTERVAL: Duration = Duration::from_millis(250);

/// Tells the directory what this entry's queues gave to workspaces, and the
/// queues what other entries gave. The exchange ends when it is dropped.
#[derive(Debug)]
pub(super) struct UsageExchange {
    task: JoinHandle<()>,
}

impl Drop for UsageExchange {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl UsageExchange {
    /// Starts for `node`; `used` carries what other entries gave.
    pub(super) fn start(node: &Arc<EntryNode>, used: mpsc::Receiver<Vec<WorkspaceUsage>>) -> Self {
        let task = tokio::spawn(run(Arc::clone(node), used));
        Self { task }
    }
}

async fn run(node: Arc<EntryNode>, mut used: mpsc::Receiver<Vec<WorkspaceUsage>>) {
    let mut names = UsageNames::default();
    let mut drains = interval(DRAIN_INTERVAL);
    drains.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = drains.tick() => tell(&node).await,
            Some(lines) = used.recv() => {
                names.follow(&node.configuration.load());
                node.add_remote_usage(Instant::now(), &names.reports(&lines));
            }
        }
    }
}

async fn tell(node: &EntryNode) {
    let reports = node.queues().drain_usage();
    if reports.is_empty() {
        return;
    }
    let lines = reports.iter().map(|report| WorkspaceUsage {
        pool: WorkspaceUsage::key(&report.pool),
        workspace: WorkspaceUsage::key(&report.workspace),
        endpoint_micros: report.endpoint_micros,
    });
    if !node.directory().report_own_usage(lines.collect()).await {
        log_event!(debug, "directory_stopped");
    }
}
