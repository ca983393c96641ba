use super::{PoolQueue, QueueTicket};
use crate::prelude::*;

/// The right to run one stage at a pool; dropping it gives the place to the
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

    /// Gives the place back with the endpoint time that the stage really took;
    /// without this, the time that the permit was held counts.
    pub fn complete(mut self, actual: Duration) {
        self.actual = Some(actual);
    }
}

impl Drop for StagePermit {
    fn drop(&mut self) {
        self.pool.release(&self.ticket, self.started, self.actual);
    }
}
