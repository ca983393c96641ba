use tokio::sync::{mpsc, oneshot};

use crate::prelude::*;

/// Most callers that wait for a round; more than all entries of the target
/// that may follow one daemon.
const MAX_WAITING: usize = 1_024;

/// Lets many callers share one round that asks the leader, and through it a
/// majority, whether anything newer is committed. Who comes while a round runs
/// waits for the next one, since the running one began too early for it.
#[derive(Clone, Debug)]
pub(super) struct ConfirmGate {
    waiting: mpsc::Sender<oneshot::Sender<bool>>,
}

impl ConfirmGate {
    /// The gate, and what its rounds take their callers from.
    pub(super) fn new() -> (Self, mpsc::Receiver<oneshot::Sender<bool>>) {
        let (waiting, callers) = mpsc::channel(MAX_WAITING);
        (Self { waiting }, callers)
    }

    /// Waits for a round that begins after this call; false when it found no
    /// majority.
    pub(super) async fn confirm(&self) -> bool {
        let (reply, outcome) = oneshot::channel();
        if self.waiting.try_send(reply).is_err() {
            log_event!(warn, "confirm_queue_full");
            return false;
        }
        outcome.await.unwrap_or(false)
    }
}

/// Holds rounds, one after the other, until the gate is dropped.
pub(super) async fn hold_rounds<F>(
    mut callers: mpsc::Receiver<oneshot::Sender<bool>>,
    mut round: impl FnMut() -> F,
) where
    F: Future<Output = bool>,
{
    while let Some(first) = callers.recv().await {
        let mut sharing = vec![first];
        while let Ok(next) = callers.try_recv() {
            sharing.push(next);
        }
        let confirmed = round().await;
        for caller in sharing {
            if caller.send(confirmed).is_err() {
                log_event!(debug, "confirm_caller_left");
            }
        }
    }
}
