use super::{PoolQueue, QueueTicket};
use crate::prelude::*;

/// Permission to run one stage at a pool; dropping it releases the slot to the
/// next stage, however the run ended.
#[derive(Debug)]
pub struct StagePermit {
    pool: Arc<PoolQueue>,
    ticket: QueueTicket,
    started: Instant,
    actual: Option<Duration>,
}

impl StagePermit {
    pub(super) fn new(pool: Arc<PoolQueue>, ticket: QueueTicket, started: Instant) -> Self {
        Self {
            pool,
            ticket,
            started,
            actual: None,
        }
    }

    /// Releases the slot and charges `actual` as the stage's endpoint time. A
    /// permit that is only dropped is charged for the time that it was held.
    pub fn complete(mut self, actual: Duration) {
        self.actual = Some(actual);
    }
}

impl Drop for StagePermit {
    fn drop(&mut self) {
        self.pool.release(&self.ticket, self.started, self.actual);
    }
}
