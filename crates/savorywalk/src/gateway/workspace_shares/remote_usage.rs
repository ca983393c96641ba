use crate::generated::work::UsageNotice;
use crate::prelude::*;

/// Time after which a coordinator that sent no notice no longer counts: some notices at one
/// each second may be lost.
const MAX_AGE: Duration = Duration::from_secs(5);

/// Coordinators followed; more than there are shards. Beyond that the one that was silent
/// longest is forgotten.
const MAX_EPOCHS: usize = 128;

/// Workspaces followed at one coordinator.
const MAX_WORKSPACES: usize = 1_024;

/// Sums that the coordinators of other shards have sent.
///
/// Each start of a coordinator has its own epoch, so two coordinators of one shard count once
/// each. What counts is the growth of a sum since the notice before, so that doubled, late and
/// lost notices change nothing, and the sums of a replaced coordinator do not count again. The
/// first sum that is seen of a workspace is only a base: it may be from long ago.
#[derive(Debug, Default)]
pub(super) struct RemoteUsage {
    epochs: FastMap<u64, EpochSums>,
}

#[derive(Debug)]
struct EpochSums {
    heard_at: Instant,
    sequence: u64,
    sums: FastMap<Arc<str>, KnownSum>,
}

#[derive(Clone, Copy, Debug)]
struct KnownSum {
    sequence: u64,
    used_ms: u64,
}

impl RemoteUsage {
    /// Applies a notice. Returns the workspaces that have used more than was known, with the
    /// difference.
    pub(super) fn apply(
        &mut self,
        now: Instant,
        notice: &UsageNotice,
    ) -> Vec<(Arc<str>, Duration)> {
        let is_recent = |sums: &EpochSums| now.saturating_duration_since(sums.heard_at) < MAX_AGE;
        self.epochs.retain(|_, sums| is_recent(sums));
        if !self.epochs.contains_key(&notice.epoch) && self.epochs.len() >= MAX_EPOCHS {
            self.forget_one();
        }
        let sums = self
            .epochs
            .entry(notice.epoch)
            .or_insert_with(|| EpochSums {
                heard_at: now,
                sequence: 0,
                sums: FastMap::default(),
            });
        if notice.sequence > sums.sequence {
            sums.sequence = notice.sequence;
            sums.heard_at = now;
        }
        let workspaces = notice.workspaces.iter();
        let grown = workspaces.filter_map(|usage| {
            let grown_ms = sums.grow(&usage.workspace, notice.sequence, usage.used_ms)?;
            let workspace = Arc::from(usage.workspace.as_str());
            Some((workspace, Duration::from_millis(grown_ms)))
        });
        grown.collect()
    }

    fn forget_one(&mut self) {
        let silent = self.epochs.iter().min_by_key(|(_, sums)| sums.heard_at);
        if let Some(epoch) = silent.map(|(epoch, _)| *epoch) {
            self.epochs.remove(&epoch);
        }
    }
}

impl EpochSums {
    /// Records a sum. Returns its growth, or `None` if the sum is old or has not grown.
    fn grow(&mut self, workspace: &str, sequence: u64, used_ms: u64) -> Option<u64> {
        let sum = KnownSum { sequence, used_ms };
        let Some(known) = self.sums.get_mut(workspace) else {
            if self.sums.len() < MAX_WORKSPACES {
                self.sums.insert(workspace.into(), sum);
            }
            return None;
        };
        if sequence <= known.sequence {
            return None;
        }
        let grown_ms = used_ms.checked_sub(known.used_ms);
        *known = sum;
        grown_ms.filter(|grown_ms| *grown_ms > 0)
    }
}
