use super::gateway_node::GatewayNode;
use super::work_shard::WorkShard;
use super::{ResultHandle, ReturnTime};
use crate::prelude::*;

/// Why the stages of a request gave no results.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum PlanFailure {
    /// The deadline passed.
    Late,
    /// The stages cannot be finished in time, and there was no spare endpoint time for them.
    Overload {
        /// When the caller may return.
        return_time: ReturnTime,
        /// Another shard that probably has room; the refusing one itself if none is known to,
        /// so that the refusal is final. `None` if too little is known of the others.
        other_shard: Option<WorkShard>,
        /// Whether pieces may have been sent.
        begun: bool,
    },
    /// An input was no longer stored at its endpoint.
    InputGone,
    /// A piece failed too often, or results were lost too often.
    Failed,
    /// Endpoints crash when they work on the request.
    Quarantined,
}

impl PlanFailure {
    /// An overload that a begun plan met, of the shard that was asked and of all others as far as is
    /// known.
    pub(super) const fn begun_overload(return_time: ReturnTime) -> Self {
        Self::Overload {
            return_time,
            other_shard: None,
            begun: true,
        }
    }
}

/// Results that a request needs. They are released when this is dropped.
#[derive(Debug)]
pub(super) struct PlanResults {
    node: Arc<GatewayNode>,
    shard: WorkShard,
    handles: Vec<ResultHandle>,
}

impl Drop for PlanResults {
    fn drop(&mut self) {
        for handle in self.take() {
            self.node.releases.release(self.shard.clone(), handle);
        }
    }
}

impl PlanResults {
    pub(super) fn new(
        node: &Arc<GatewayNode>,
        shard: &WorkShard,
        handles: Vec<ResultHandle>,
    ) -> Self {
        Self {
            node: Arc::clone(node),
            shard: shard.clone(),
            handles,
        }
    }

    pub(super) fn handles(&self) -> &[ResultHandle] {
        &self.handles
    }

    /// Takes the results; the caller then has to release them.
    pub(super) fn take(&mut self) -> Vec<ResultHandle> {
        std::mem::take(&mut self.handles)
    }
}
