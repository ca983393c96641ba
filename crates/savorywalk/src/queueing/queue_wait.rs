use tokio::sync::oneshot;

use super::{PoolQueue, QueueRefusal, QueueTicket, Result, StagePermit};
use crate::prelude::*;

/// A stage that waits in a queue; dropping this removes it from the queue.
#[derive(Debug)]
pub struct QueueWait {
    pool: Arc<PoolQueue>,
    ticket: QueueTicket,
    latest_start: Instant,
    grant: oneshot::Receiver<Result<StagePermit>>,
}

impl QueueWait {
    pub(super) fn new(
        pool: Arc<PoolQueue>,
        ticket: QueueTicket,
        latest_start: Instant,
        grant: oneshot::Receiver<Result<StagePermit>>,
    ) -> Self {
        Self {
            pool,
            ticket,
            latest_start,
            grant,
        }
    }

    /// Waits until the stage may run, or until it can no longer finish in time
    /// ([`QueueRefusal::Expired`]).
    pub async fn permit(mut self) -> Result<StagePermit> {
        let expiry = tokio::time::sleep_until(self.latest_start.into());
        tokio::select! {
            biased;
            grant = &mut self.grant => grant.unwrap_or(Err(QueueRefusal::Expired)),
            () = expiry => Err(QueueRefusal::Expired),
        }
    }
}

impl Drop for QueueWait {
    fn drop(&mut self) {
        self.pool.withdraw(&self.ticket);
    }
}
