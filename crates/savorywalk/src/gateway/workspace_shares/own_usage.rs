use crate::generated::work::{UsageNotice, WorkspaceUsage};
use crate::prelude::*;

/// Workspaces in one notice, so that it fits in a packet or two.
pub(super) const MAX_NOTICE_WORKSPACES: usize = 64;

/// Workspaces whose sums are kept. Beyond that the one that is named longest ago is forgotten;
/// its sum begins anew.
const MAX_SUMS: usize = 1_024;

/// Endpoint time of the plans begun by one coordinator of a shard, by workspace, as sums since
/// its start.
#[derive(Debug)]
pub(super) struct OwnUsage {
    epoch: u64,
    sequence: u64,
    sums: FastMap<Arc<str>, UsageSum>,
    /// Workspaces whose sums have changed since they were last sent, oldest change first.
    changed: VecDeque<Arc<str>>,
    /// Other workspaces by the notice that they were last sent in.
    unchanged: BTreeSet<(u64, Arc<str>)>,
}

#[derive(Debug, Default)]
struct UsageSum {
    used: Duration,
    is_changed: bool,
    /// Sequence of the notice that it was last sent in.
    sent_in: u64,
}

impl OwnUsage {
    pub(super) fn new(epoch: u64) -> Self {
        Self {
            epoch,
            sequence: 0,
            sums: FastMap::default(),
            changed: VecDeque::new(),
            unchanged: BTreeSet::new(),
        }
    }

    pub(super) fn epoch(&self) -> u64 {
        self.epoch
    }

    pub(super) fn add(&mut self, workspace: &Arc<str>, work: Duration) {
        if !self.sums.contains_key(workspace) && self.sums.len() >= MAX_SUMS {
            self.forget_one();
        }
        let sum = self.sums.entry(Arc::clone(workspace)).or_default();
        sum.used += work;
        if !sum.is_changed {
            sum.is_changed = true;
            self.unchanged.remove(&(sum.sent_in, Arc::clone(workspace)));
            self.changed.push_back(Arc::clone(workspace));
        }
    }

    /// Sums by workspace.
    pub(super) fn sums(&self) -> impl Iterator<Item = (&Arc<str>, Duration)> {
        let sums = self.sums.iter();
        sums.map(|(workspace, sum)| (workspace, sum.used))
    }

    /// Returns the next notice to the coordinators of other shards; `None` without a change.
    /// Unchanged sums fill it up, in turn, which repairs what lost notices have left out.
    pub(super) fn next_notice(&mut self, shard: &str) -> Option<UsageNotice> {
        if self.changed.is_empty() {
            return None;
        }
        let count = self.changed.len().min(MAX_NOTICE_WORKSPACES);
        let mut named: Vec<Arc<str>> = self.changed.drain(..count).collect();
        while named.len() < MAX_NOTICE_WORKSPACES {
            let Some((_, workspace)) = self.unchanged.pop_first() else {
                break;
            };
            named.push(workspace);
        }
        self.sequence += 1;
        let mut workspaces = Vec::with_capacity(named.len());
        for workspace in named {
            let Some(sum) = self.sums.get_mut(&workspace) else {
                continue;
            };
            sum.is_changed = false;
            sum.sent_in = self.sequence;
            workspaces.push(WorkspaceUsage {
                workspace: workspace.to_string(),
                used_ms: sum.used.as_millis() as u64,
            });
            self.unchanged.insert((self.sequence, workspace));
        }
        Some(UsageNotice {
            shard: shard.to_string(),
            epoch: self.epoch,
            sequence: self.sequence,
            workspaces,
        })
    }

    fn forget_one(&mut self) {
        let oldest = self.unchanged.pop_first().map(|(_, workspace)| workspace);
        if let Some(oldest) = oldest.or_else(|| self.changed.pop_front()) {
            self.sums.remove(&oldest);
        }
    }
}
