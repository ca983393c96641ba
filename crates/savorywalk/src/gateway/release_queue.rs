use prost::Message;
use tokio::sync::mpsc;

use super::endpoint_call::{CallError, EndpointCall, read_whole};
use super::gateway_node::GatewayNode;
use super::piece_board::BoardKey;
use super::{ResultHandle, WireFormat};
use crate::generated::work::ReleaseNotice;
use crate::prelude::*;
use crate::transport::InboundMessage;

/// Most results that wait to be given up; more expire at their endpoints.
const MAX_WAITING: usize = 8_192;

/// Pause in which results gather into one call. They take up room meanwhile,
/// for a small part of a call's time.
const GATHER_TIME: Duration = Duration::from_millis(12);

/// Time for one call.
const CALL_TIME: Duration = Duration::from_millis(600);

/// Gives up results that nobody needs any more, without keeping anyone. The
/// entry that gathers for their pool makes the calls, so that it knows at once
/// how much room there is.
#[derive(Clone, Debug)]
pub(super) struct ReleaseQueue {
    waiting: mpsc::Sender<GivenUp>,
}

/// A result that is not needed any more.
#[derive(Debug)]
pub(super) struct GivenUp {
    key: BoardKey,
    handle: ResultHandle,
}

impl ReleaseQueue {
    /// The queue, and what [`run`] takes from it.
    pub(super) fn new() -> (Self, mpsc::Receiver<GivenUp>) {
        let (waiting, given_up) = mpsc::channel(MAX_WAITING);
        (Self { waiting }, given_up)
    }

    /// Gives a result up that was made for `key`.
    pub(super) fn release(&self, key: BoardKey, handle: ResultHandle) {
        if self.waiting.try_send(GivenUp { key, handle }).is_err() {
            log_event!(debug, "release_queue_full");
        }
    }
}

/// Tells the gatherers of what is given up here.
pub(super) async fn run(node: Arc<GatewayNode>, mut given_up: mpsc::Receiver<GivenUp>) {
    while let Some(first) = given_up.recv().await {
        tokio::time::sleep(GATHER_TIME).await;
        let mut by_key: FastMap<BoardKey, Vec<ResultHandle>> = FastMap::default();
        let mut next = Some(first);
        while let Some(GivenUp { key, handle }) = next {
            by_key.entry(key).or_default().push(handle);
            next = given_up.try_recv().ok();
        }
        for (key, handles) in by_key {
            if !node.exchange.tell_released(&node, &key, &handles) {
                release_here(&node, &key, handles);
            }
        }
    }
}

/// Gives up what other entries tell this one of.
pub(super) async fn serve(node: Arc<GatewayNode>, mut notices: mpsc::Receiver<InboundMessage>) {
    while let Some(message) = notices.recv().await {
        let notice = match ReleaseNotice::decode(message.payload) {
            Ok(notice) => notice,
            Err(error) => {
                let from = message.from;
                log_event!(warn, "release_unreadable", from = from, reason = error);
                continue;
            }
        };
        let key = BoardKey {
            pool: notice.pool,
            shard: (!notice.shard.is_empty()).then_some(notice.shard),
        };
        let handles = notice.handles.into_iter();
        let handles = handles.map(|handle| ResultHandle(handle.into())).collect();
        release_here(&node, &key, handles);
    }
}

/// Has endpoints drop results, then counts their room as free.
fn release_here(node: &Arc<GatewayNode>, key: &BoardKey, handles: Vec<ResultHandle>) {
    let mut by_keeper: BTreeMap<SocketAddr, Vec<ResultHandle>> = BTreeMap::new();
    for handle in handles {
        match handle.keeper() {
            Some(keeper) => by_keeper.entry(keeper).or_default().push(handle),
            None => log_event!(warn, "handle_without_keeper", handle = handle.0),
        }
    }
    for (keeper, handles) in by_keeper {
        let board = node.board(key);
        let wire = Arc::clone(&node.wire);
        tokio::spawn(async move {
            let calling = call(wire.as_ref(), keeper, &handles);
            match tokio::time::timeout(CALL_TIME, calling).await {
                Ok(Ok(())) => board.note_released(&handles),
                Ok(Err(reason)) => {
                    log_event!(debug, "release_failed", keeper = keeper, reason = reason);
                }
                Err(_) => log_event!(debug, "release_timed_out", keeper = keeper),
            }
        });
    }
}

async fn call(
    wire: &dyn WireFormat,
    keeper: SocketAddr,
    handles: &[ResultHandle],
) -> Result<(), CallError> {
    let mut call = EndpointCall::open(keeper).await?;
    let response = call.send(wire.release_request(handles, keeper)).await?;
    read_whole(response.into_body()).await?;
    Ok(())
}
