use tokio::sync::{mpsc, oneshot};

use crate::prelude::*;

/// Maximum number of callers that wait for a round. All entries of a fleet of some thousands
/// may call one daemon, for instance after the loss of the others.
const MAX_WAITING_CALLERS: usize = 8_192;

/// Shares one confirmation round among many callers. A round asks the leader, and through it
/// a majority, whether anything newer is committed. A caller that arrives while a round runs
/// waits for the next one, because the running round began before its call.
#[derive(Clone, Debug)]
pub(super) struct ConfirmationBatcher {
    waiting: mpsc::Sender<oneshot::Sender<bool>>,
}

impl ConfirmationBatcher {
    /// Creates a batcher, and the queue of callers for [`run_rounds`].
    pub(super) fn new() -> (Self, mpsc::Receiver<oneshot::Sender<bool>>) {
        let (waiting, callers) = mpsc::channel(MAX_WAITING_CALLERS);
        (Self { waiting }, callers)
    }

    /// Waits for a round that begins after this call. Returns false when the round found no
    /// majority, or when too many callers wait already.
    pub(super) async fn confirm(&self) -> bool {
        let (reply, outcome) = oneshot::channel();
        if self.waiting.try_send(reply).is_err() {
            log_event!(warn, "confirm_queue_full");
            return false;
        }
        outcome.await.unwrap_or(false)
    }
}

/// Runs confirmation rounds one after the other until the batcher is dropped. Two rounds start
/// at least `pause` apart, because the leader answers one call per round and control daemon.
pub(super) async fn run_rounds<F>(
    mut callers: mpsc::Receiver<oneshot::Sender<bool>>,
    pause: impl Fn() -> Duration,
    mut round: impl FnMut() -> F,
) where
    F: Future<Output = bool>,
{
    let mut last_start: Option<tokio::time::Instant> = None;
    while let Some(first) = callers.recv().await {
        if let Some(last_start) = last_start {
            tokio::time::sleep_until(last_start + pause()).await;
        }
        last_start = Some(tokio::time::Instant::now());
        let mut round_callers = vec![first];
        while let Ok(next) = callers.try_recv() {
            round_callers.push(next);
        }
        let confirmed = round().await;
        for caller in round_callers {
            if caller.send(confirmed).is_err() {
                log_event!(debug, "confirm_caller_left");
            }
        }
    }
}

#[cfg(test)]
#[path = "confirmation_batcher_tests.rs"]
mod tests;
