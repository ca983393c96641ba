//! Writes what waits for one peer, class by class and within the budget.

use prost::Message;
use quinn::{SendStream, WriteError};

use super::hub_core::HubCore;
use super::link_connection::LinkConnection;
use super::link_limits as limits;
use super::peer_slot::PeerSlot;
use super::send_queue::{QueueOutcome, QueuedBatch};
use super::{LinkClass, LinkMetrics};
use crate::generated::link::MessageBatch;
use crate::prelude::*;

/// Runs until the hub stops.
pub(super) async fn run(core: Arc<HubCore>, slot: Arc<PeerSlot>) {
    let stop = core.stop.clone();
    tokio::select! {
        () = stop.cancelled() => {}
        () = write_all(&core, &slot) => {}
    }
}

async fn write_all(core: &Arc<HubCore>, slot: &Arc<PeerSlot>) {
    loop {
        let next = slot.lock_queue().peek();
        let Some((class, bytes)) = next else {
            slot.queued.notified().await;
            continue;
        };
        if slot.current().is_none() {
            slot.wanted.notify_one();
            slot.queued.notified().await;
            continue;
        }
        let cost = bytes + limits::STREAM_OVERHEAD_BYTES;
        let admitted = core.lock_budget().take(Instant::now(), class, cost);
        if let Err(wait) = admitted {
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = slot.queued.notified() => {}
            }
            continue;
        }
        let batch = slot.lock_queue().pop(class);
        if let Some(batch) = batch {
            write_batch(core, slot, batch).await;
        }
    }
}

async fn write_batch(core: &Arc<HubCore>, slot: &Arc<PeerSlot>, batch: QueuedBatch) {
    let (connection, mut stream) = open_stream(slot).await;
    let payload = encode(&batch);
    match tokio::time::timeout(
        limits::STREAM_TIME,
        write(&mut stream, payload, batch.class),
    )
    .await
    {
        Ok(Ok(())) => {}
        Ok(Err(_)) | Err(_) => {
            give_up(core, slot, batch);
            return;
        }
    }
    core.metrics
        .sent(batch.class, batch.payloads.len(), batch.bytes);
    if batch.class == LinkClass::Notice {
        tokio::spawn(confirm(
            Arc::clone(core),
            Arc::clone(slot),
            connection,
            stream,
            batch,
        ));
    }
}

/// Opens a stream on the best connection, as often as that takes.
async fn open_stream(slot: &PeerSlot) -> (Arc<LinkConnection>, SendStream) {
    loop {
        let Some(connection) = slot.current() else {
            slot.wanted.notify_one();
            tokio::select! {
                () = slot.changed() => {}
                () = tokio::time::sleep(limits::HEALTH_INTERVAL) => {}
            }
            continue;
        };
        match tokio::time::timeout(limits::SUSPECT_AFTER, connection.quic.open_uni()).await {
            Ok(Ok(stream)) => return (connection, stream),
            Ok(Err(_)) => slot.prune(),
            Err(_) => {}
        }
    }
}

async fn write(
    stream: &mut SendStream,
    payload: Bytes,
    class: LinkClass,
) -> Result<(), WriteError> {
    let priority = LinkClass::ALL.len() - class.index();
    stream.set_priority(priority as i32)?;
    stream.write_chunk(payload).await?;
    stream.finish()?;
    Ok(())
}

fn encode(batch: &QueuedBatch) -> Bytes {
    let message = MessageBatch {
        channel: batch.channel.wire().into(),
        class: batch.class.wire().into(),
        payloads: batch.payloads.clone(),
    };
    message.encode_to_vec().into()
}

/// Sees to it that a notice arrives: when its connection is lost or replaced
/// before the peer has acknowledged it, it is queued again.
async fn confirm(
    core: Arc<HubCore>,
    slot: Arc<PeerSlot>,
    connection: Arc<LinkConnection>,
    stream: SendStream,
    batch: QueuedBatch,
) {
    let acknowledged = stream.stopped();
    tokio::pin!(acknowledged);
    for _ in 0..limits::MAX_NOTICE_RESENDS * 4 {
        tokio::select! {
            outcome = &mut acknowledged => {
                if outcome.is_err() {
                    give_up(&core, &slot, batch);
                }
                return;
            }
            () = tokio::time::sleep(limits::NOTICE_RESEND) => {}
        }
        let current = slot.current();
        if current.is_some_and(|current| !Arc::ptr_eq(&current, &connection)) {
            give_up(&core, &slot, batch);
            return;
        }
    }
    core.metrics.dropped(batch.class, batch.payloads.len());
}

/// Queues a notice again; anything else is lost with its connection.
fn give_up(core: &HubCore, slot: &PeerSlot, batch: QueuedBatch) {
    let count = batch.payloads.len();
    match batch.class {
        LinkClass::Notice => {
            for payload in batch.payloads {
                let outcome = slot.lock_queue().push(batch.channel, batch.class, payload);
                record(&core.metrics, batch.class, outcome);
            }
            slot.queued.notify_one();
        }
        LinkClass::Replication | LinkClass::Update | LinkClass::Detail => {
            core.metrics.dropped(batch.class, count);
        }
    }
}

/// Counts what a queue has dropped.
pub(super) fn record(metrics: &LinkMetrics, class: LinkClass, outcome: QueueOutcome) {
    match outcome {
        QueueOutcome::Queued => {}
        QueueOutcome::Displaced(count) => metrics.dropped(class, count),
        QueueOutcome::Full => metrics.dropped(class, 1),
    }
}
