use tokio::sync::oneshot;

use super::{PoolQueue, QueueRefusal, QueueTicket, Result, StagePermit};
use crate::prelude::*;

/// A stage's place in a queue; dropping it leaves the queue.
#[derive(Debug)]
pub struct QueueWait {
    pool: Arc<PoolQueue>,
    ticket: QueueTicket,
    latest_start: Instant,
    turn: oneshot::Receiver<Result<StagePermit>>,
}

impl QueueWait {
    pub(super) fn new(
        pool: Arc<PoolQueue>,
        ticket: QueueTicket,
        latest_start: Instant,
        turn: oneshot::Receiver<Result<StagePermit>>,
    ) -> Self {
        Self {
            pool,
            ticket,
            latest_start,
            turn,
        }
    }

    /// Waits for the turn; ends as soon as the stage can't end in time.
    pub async fn permit(mut self) -> Result<StagePermit> {
        let expiry = tokio::time::sleep_until(self.latest_start.into());
        tokio::select! {
            biased;
            turn = &mut self.turn => turn.unwrap_or(Err(QueueRefusal::Expired)),
            () = expiry => Err(QueueRefusal::Expired),
        }
    }
}

impl Drop for QueueWait {
    fn drop(&mut self) {
        self.pool.withdraw(&self.ticket);
    }
}
