use tokio::sync::mpsc;

use super::endpoint_call::{EndpointCall, read_whole};
use super::{ResultHandle, WireFormat};
use crate::prelude::*;

/// Most results that wait to be given up; more expire at their keepers.
const MAX_WAITING: usize = 8_192;

/// Pause in which results of one keeper gather into one call. They take up
/// room there meanwhile, for a small part of a call's time.
const GATHER_TIME: Duration = Duration::from_millis(40);

/// Time for one call.
const CALL_TIME: Duration = Duration::from_millis(600);

/// Gives up results that nobody needs any more, without keeping anyone.
#[derive(Clone, Debug)]
pub(super) struct ReleaseQueue {
    waiting: mpsc::Sender<ResultHandle>,
}

impl ReleaseQueue {
    /// Starts the task that makes the calls.
    pub(super) fn start(wire: Arc<dyn WireFormat>) -> Self {
        let (waiting, handles) = mpsc::channel(MAX_WAITING);
        tokio::spawn(run(handles, wire));
        Self { waiting }
    }

    /// Gives a result up.
    pub(super) fn release(&self, handle: ResultHandle) {
        if self.waiting.try_send(handle).is_err() {
            log_event!(debug, "release_queue_full");
        }
    }
}

async fn run(mut handles: mpsc::Receiver<ResultHandle>, wire: Arc<dyn WireFormat>) {
    while let Some(first) = handles.recv().await {
        tokio::time::sleep(GATHER_TIME).await;
        let mut by_keeper: BTreeMap<SocketAddr, Vec<ResultHandle>> = BTreeMap::new();
        let mut next = Some(first);
        while let Some(handle) = next {
            match handle.keeper() {
                Some(keeper) => by_keeper.entry(keeper).or_default().push(handle),
                None => log_event!(warn, "handle_without_keeper", handle = handle.0),
            }
            next = handles.try_recv().ok();
        }
        for (keeper, handles) in by_keeper {
            let wire = Arc::clone(&wire);
            tokio::spawn(async move {
                let calling = call(wire.as_ref(), keeper, &handles);
                match tokio::time::timeout(CALL_TIME, calling).await {
                    Ok(Ok(())) => {}
                    Ok(Err(reason)) => {
                        log_event!(debug, "release_failed", keeper = keeper, reason = reason);
                    }
                    Err(_) => log_event!(debug, "release_timed_out", keeper = keeper),
                }
            });
        }
    }
}

async fn call(
    wire: &dyn WireFormat,
    keeper: SocketAddr,
    handles: &[ResultHandle],
) -> std::result::Result<(), super::endpoint_call::CallError> {
    let mut call = EndpointCall::open(keeper).await?;
    let response = call.send(wire.release_request(handles, keeper)).await?;
    read_whole(response.into_body()).await?;
    Ok(())
}
