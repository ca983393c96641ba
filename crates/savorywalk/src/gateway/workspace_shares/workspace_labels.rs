use crate::prelude::*;

/// Workspaces with a metric series of their own.
const MAX_LABELS: usize = 32;

/// Label of all other workspaces.
const OTHER: &str = "other";

/// Labels of workspaces in metrics, bounded in count. A workspace keeps the label that it was
/// given, so that its counter never decreases.
#[derive(Debug, Default)]
pub(in crate::gateway) struct WorkspaceLabels {
    known: FastSet<Arc<str>>,
}

impl WorkspaceLabels {
    /// Pairs usage with labels: workspaces get those that are left, the largest first.
    pub(in crate::gateway) fn label(
        &mut self,
        mut used: Vec<(Arc<str>, Duration)>,
    ) -> Vec<(Arc<str>, Duration)> {
        used.sort_by(|left, right| right.1.cmp(&left.1).then_with(|| left.0.cmp(&right.0)));
        for (workspace, _) in &mut used {
            if self.known.contains(workspace) {
                continue;
            }
            if self.known.len() < MAX_LABELS {
                self.known.insert(Arc::clone(workspace));
            } else {
                *workspace = OTHER.into();
            }
        }
        used
    }
}
