//! Reads what a peer sends. A certified peer may still be faulty, so sizes,
//! rates and times are checked here, whatever it should keep to.

use bytes::Buf;
use prost::Message;
use quinn::{ReadToEndError, RecvStream, SendStream, VarInt};
use tokio::sync::mpsc::error::TrySendError;

use super::connection_uses::{ConnectionUse, ConnectionUses, UseGuard};
use super::hub_core::HubCore;
use super::link_limits as limits;
use super::link_metrics::count;
use super::link_stream::{LinkStream, STREAM_MARKER};
use super::peer_slot::PeerSlot;
use super::{CallReplier, InboundCall, InboundMessage, InboundStream, LinkChannel, LinkClass};
use crate::generated::link::call_reply::Outcome;
use crate::generated::link::{CallRefusal, CallReply, CallRequest, MessageBatch};
use crate::prelude::*;

const STOP_TOO_LARGE: VarInt = VarInt::from_u32(CallRefusal::TooLarge as u32);
const STOP_MALFORMED: VarInt = VarInt::from_u32(CallRefusal::Malformed as u32);

/// Reads one-way messages, one stream after the other, so that they keep the
/// order in which they were sent.
pub(super) async fn read_batches(core: Arc<HubCore>, slot: Arc<PeerSlot>, quic: quinn::Connection) {
    while let Ok(mut stream) = quic.accept_uni().await {
        match read_stream(&mut stream, 0).await {
            Ok(bytes) => take_batch(&core, &slot, bytes),
            Err(CallRefusal::TooLarge) => {
                count(&core.metrics.refused_size, 1);
                log_event!(warn, "link_message_too_large", peer = slot.name);
            }
            Err(refusal) => {
                log_event!(
                    debug,
                    "link_stream_lost",
                    peer = slot.name,
                    refusal = format!("{refusal:?}")
                );
            }
        }
    }
    slot.prune();
}

/// Reads calls, each in a task of its own.
pub(super) async fn read_calls(
    core: Arc<HubCore>,
    slot: Arc<PeerSlot>,
    quic: quinn::Connection,
    uses: Arc<ConnectionUses>,
) {
    while let Ok((send, receive)) = quic.accept_bi().await {
        let guard = UseGuard::enter(&uses, ConnectionUse::ServedCall);
        let (core, slot, uses) = (Arc::clone(&core), Arc::clone(&slot), Arc::clone(&uses));
        tokio::spawn(async move {
            answer(core, slot, send, receive, &uses).await;
            drop(guard);
        });
    }
}

/// Reads a stream of which `read_before` bytes were read to its end; one that is too large or too
/// slow is stopped.
async fn read_stream(stream: &mut RecvStream, read_before: usize) -> Result<Bytes, CallRefusal> {
    let read = stream.read_to_end(limits::MAX_STREAM_BYTES - read_before);
    let (code, refusal) = match tokio::time::timeout(limits::STREAM_TIME, read).await {
        Ok(Ok(bytes)) => return Ok(bytes.into()),
        Ok(Err(ReadToEndError::TooLong)) => (STOP_TOO_LARGE, CallRefusal::TooLarge),
        Ok(Err(ReadToEndError::Read(_))) | Err(_) => (STOP_MALFORMED, CallRefusal::Malformed),
    };
    // A stream that is closed already needs no stop.
    let _ = stream.stop(code);
    Err(refusal)
}

fn take_batch(core: &HubCore, slot: &PeerSlot, bytes: Bytes) {
    let batch = MessageBatch::decode(bytes).ok();
    let header = batch.as_ref().and_then(|batch| {
        let channel = LinkChannel::from_wire(batch.channel())?;
        Some((channel, LinkClass::from_wire(batch.class())?))
    });
    let (Some(batch), Some((channel, class))) = (batch, header) else {
        log_event!(warn, "link_message_malformed", peer = slot.name);
        return;
    };
    for payload in batch.payloads {
        take_message(core, slot, channel, class, payload);
    }
}

fn take_message(
    core: &HubCore,
    slot: &PeerSlot,
    channel: LinkChannel,
    class: LinkClass,
    payload: Bytes,
) {
    let size = payload.len();
    if size > channel.max_message_bytes() {
        count(&core.metrics.refused_size, 1);
        log_event!(
            warn,
            "link_message_too_large",
            peer = slot.name,
            channel = channel,
            bytes = size
        );
        return;
    }
    if !slot.lock_meter().admit(Instant::now(), channel, size) {
        count(&core.metrics.refused_rate, 1);
        core.metrics.dropped(class, 1);
        return;
    }
    let subscriber = core.subscribers[channel.index()].load();
    let message = InboundMessage {
        from: slot.name.clone(),
        class,
        payload,
    };
    let taken = subscriber
        .as_ref()
        .is_some_and(|subscriber| subscriber.try_send(message).is_ok());
    match taken {
        true => core.metrics.received(class, size),
        false => core.metrics.dropped(class, 1),
    }
}

/// Answers a call, or hands a stream of bytes over to what serves its channel.
async fn answer(
    core: Arc<HubCore>,
    slot: Arc<PeerSlot>,
    send: SendStream,
    mut receive: RecvStream,
    uses: &Arc<ConnectionUses>,
) {
    let mut first = [0; 1];
    let reading = tokio::time::timeout(limits::STREAM_TIME, receive.read_exact(&mut first));
    match reading.await {
        Ok(Ok(())) if first == [STREAM_MARKER] => {
            let stream = LinkStream::new(send, receive, uses);
            hand_stream_over(&core, &slot, stream).await;
        }
        Ok(Ok(())) => answer_call(core, slot, send, receive, &first).await,
        // An empty request is no call.
        Ok(Err(_)) | Err(_) => answer_call(core, slot, send, receive, &[]).await,
    }
}

async fn hand_stream_over(core: &HubCore, slot: &PeerSlot, mut stream: LinkStream) {
    let reading = tokio::time::timeout(limits::STREAM_TIME, stream.read_header::<CallRequest>());
    let Ok(Ok(request)) = reading.await else {
        log_event!(debug, "link_stream_lost", peer = slot.name);
        return;
    };
    let size = request.payload.len();
    let channel = LinkChannel::from_wire(request.channel());
    let inbound = InboundStream {
        from: slot.name.clone(),
        payload: request.payload,
        stream,
    };
    let Some(channel) = channel else {
        return inbound.refuse(CallRefusal::Malformed).await;
    };
    if !slot.lock_meter().admit(Instant::now(), channel, size) {
        count(&core.metrics.refused_rate, 1);
        return inbound.refuse(CallRefusal::TooFast).await;
    }
    let Some(server) = core.stream_servers[channel.index()].load_full() else {
        return inbound.refuse(CallRefusal::NotServed).await;
    };
    match server.try_send(inbound) {
        Ok(()) => count(&core.metrics.calls_received, 1),
        Err(TrySendError::Full(inbound)) => inbound.refuse(CallRefusal::Busy).await,
        Err(TrySendError::Closed(inbound)) => inbound.refuse(CallRefusal::NotServed).await,
    }
}

async fn answer_call(
    core: Arc<HubCore>,
    slot: Arc<PeerSlot>,
    mut send: SendStream,
    mut receive: RecvStream,
    first: &[u8],
) {
    let outcome = match read_request(&core, &slot, &mut receive, first).await {
        Ok((channel, payload)) => {
            let reply = hand_over(&core, &slot, channel, payload);
            tokio::select! {
                outcome = reply => outcome,
                _ = send.stopped() => return,
                () = core.stop.cancelled() => Err(CallRefusal::Unanswered),
            }
        }
        Err(refusal) => Err(refusal),
    };
    if outcome.is_err() {
        count(&core.metrics.calls_refused, 1);
    }
    let reply = CallReply {
        outcome: Some(match outcome {
            Ok(payload) => Outcome::Payload(payload),
            Err(refusal) => Outcome::Refusal(refusal.into()),
        }),
    };
    let payload = Bytes::from(reply.encode_to_vec());
    count(&core.metrics.call_bytes_sent, payload.len());
    if send.write_chunk(payload).await.is_ok() {
        // A stream that can't be finished belongs to a connection that is gone.
        let _ = send.finish();
    }
}

async fn read_request(
    core: &HubCore,
    slot: &PeerSlot,
    receive: &mut RecvStream,
    first: &[u8],
) -> Result<(LinkChannel, Bytes), CallRefusal> {
    let rest = {
        let _reader = slot.readers.acquire().await;
        read_stream(receive, first.len()).await
    };
    if rest == Err(CallRefusal::TooLarge) {
        count(&core.metrics.refused_size, 1);
    }
    let request = CallRequest::decode(first.chain(rest?)).map_err(|_| CallRefusal::Malformed)?;
    let channel = LinkChannel::from_wire(request.channel()).ok_or(CallRefusal::Malformed)?;
    let size = request.payload.len();
    if size > channel.max_message_bytes() {
        count(&core.metrics.refused_size, 1);
        return Err(CallRefusal::TooLarge);
    }
    if !slot.lock_meter().admit(Instant::now(), channel, size) {
        count(&core.metrics.refused_rate, 1);
        return Err(CallRefusal::TooFast);
    }
    count(&core.metrics.calls_received, 1);
    Ok((channel, request.payload))
}

async fn hand_over(
    core: &HubCore,
    slot: &PeerSlot,
    channel: LinkChannel,
    payload: Bytes,
) -> Result<Bytes, CallRefusal> {
    let server = core.servers[channel.index()].load_full();
    let server = server.ok_or(CallRefusal::NotServed)?;
    let (reply, answer) = CallReplier::channel();
    let call = InboundCall {
        from: slot.name.clone(),
        payload,
        arrived: Instant::now(),
        reply,
    };
    server.try_send(call).map_err(|error| match error {
        TrySendError::Full(_) => CallRefusal::Busy,
        TrySendError::Closed(_) => CallRefusal::NotServed,
    })?;
    match tokio::time::timeout(limits::MAX_CALL_TIME, answer).await {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(_)) | Err(_) => Err(CallRefusal::Unanswered),
    }
}
