use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

/// Cancellation token of one incarnation of an endpoint. It is cancelled when another
/// incarnation has the endpoint's name: the earlier process has then ended, even if its
/// connections still look open. Clones share the same state.
#[derive(Clone, Debug, Default)]
pub struct IncarnationToken {
    ended: CancellationToken,
}

impl IncarnationToken {
    /// Marks the incarnation as ended and wakes all waiters.
    pub fn end(&self) {
        self.ended.cancel();
    }

    /// Whether the incarnation is known to have ended.
    pub fn has_ended(&self) -> bool {
        self.ended.is_cancelled()
    }

    /// Completes when the incarnation is known to have ended.
    pub fn wait_for_end(&self) -> WaitForCancellationFutureOwned {
        self.ended.clone().cancelled_owned()
    }
}
