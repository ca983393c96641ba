use std::convert::Infallible;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::ArcSwapOption;
use prost::Message;
use tokio::io::AsyncWriteExt;
use tokio::runtime::Handle;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::Instant as TokioInstant;
use tokio_util::sync::{CancellationToken, DropGuard};

use super::connection_uses::{ConnectionUse, UseGuard};
use super::hub_core::HubCore;
use super::link_connection::{ConnectionOrigin, LinkConnection};
use super::link_identity::LinkIdentity;
use super::link_metrics::count;
use super::link_stream::STREAM_MARKER;
use super::peer_certificate::PeerCertificate;
use super::peer_slot::{DialFailure, PeerSlot};
use super::queue_quota::QueueQuota;
use super::send_queue::QueueOutcome;
use super::{
    AddressBook, InboundCall, InboundMessage, InboundStream, LinkBudget, LinkChannel, LinkClass,
    LinkError, LinkMetrics, LinkOptions, LinkStream, LinkTrust, PeerName, Result, WireCounts,
    connection_keeper, link_limits as limits, peer_writer,
};
use crate::generated::link::call_reply::Outcome;
use crate::generated::link::{CallRefusal, CallReply, CallRequest};
use crate::prelude::*;

const CLOSE_STOPPED: u32 = 0;

/// All links of one daemon; clones share them. They close when the last clone
/// is dropped or by [`LinkHub::close`].
#[derive(Clone, Debug)]
pub struct LinkHub {
    core: Arc<HubCore>,
    _guard: Arc<DropGuard>,
}

impl LinkHub {
    /// Checks the certificate files, binds the socket and starts to accept
    /// peers. It must be called within a tokio runtime.
    pub fn start(options: LinkOptions) -> Result<Self> {
        let identity = match options.trust {
            LinkTrust::Certificates => {
                let texts = options.files.read()?;
                LinkIdentity::load(&options.name, 0, texts, options.timing)?
            }
            LinkTrust::SourceAddress { .. } => {
                LinkIdentity::ephemeral(&options.name, options.timing)?
            }
        };
        let address = options.address;
        let endpoint = quinn::Endpoint::server(identity.server.clone(), address);
        let endpoint = endpoint.map_err(|error| LinkError::Bind { address, error })?;
        let bound = endpoint.local_addr().unwrap_or(address);
        let stop = CancellationToken::new();
        let core = Arc::new(HubCore {
            name: options.name,
            runtime: Handle::current(),
            files: options.files,
            trust: options.trust,
            timing: options.timing,
            identity: ArcSwap::from_pointee(identity),
            endpoint,
            ip: address.ip(),
            book: AddressBook::default(),
            budget: Mutex::new(LinkBudget::new(Instant::now(), options.budget)),
            metrics: Arc::new(LinkMetrics::default()),
            handshakes: Arc::new(Semaphore::new(limits::MAX_HANDSHAKES)),
            stop: stop.clone(),
            subscribers: std::array::from_fn(|_| ArcSwapOption::empty()),
            servers: std::array::from_fn(|_| ArcSwapOption::empty()),
            stream_servers: std::array::from_fn(|_| ArcSwapOption::empty()),
            quota: Arc::new(QueueQuota::default()),
            slots: Default::default(),
        });
        for (peer, address) in options.peers {
            core.book.set(peer, address);
        }
        tokio::spawn(accept(Arc::clone(&core)));
        tokio::spawn(reload_often(Arc::clone(&core), options.reload_interval));
        log_event!(info, "links_ready", node = core.name, address = bound);
        Ok(Self {
            core,
            _guard: Arc::new(stop.drop_guard()),
        })
    }

    /// Name of this daemon.
    pub fn name(&self) -> &PeerName {
        &self.core.name
    }

    /// Address on which this daemon accepts peers.
    pub fn address(&self) -> Result<SocketAddr> {
        let address = self.core.endpoint.local_addr();
        address.map_err(|_| LinkError::Closed)
    }

    /// Where peers listen; membership keeps it current.
    pub fn addresses(&self) -> &AddressBook {
        &self.core.book
    }

    /// What the links have carried.
    pub fn metrics(&self) -> &Arc<LinkMetrics> {
        &self.core.metrics
    }

    /// Peers with a connection that takes calls.
    pub fn connected_peers(&self) -> Vec<PeerName> {
        let slots = self.core.slots.read();
        let slots = slots.unwrap_or_else(|poison| poison.into_inner());
        let linked = slots.values().filter(|slot| slot.current().is_some());
        linked.map(|slot| slot.name.clone()).collect()
    }

    /// What the open connections have put on the wire.
    pub fn wire_counts(&self) -> WireCounts {
        let slots = self.core.slots.read();
        let slots = slots.unwrap_or_else(|poison| poison.into_inner());
        let mut counts = WireCounts::default();
        for slot in slots.values() {
            counts += slot.wire_counts();
        }
        counts
    }

    /// Sends `payload` to `peer` under the channel's usual class.
    pub fn send(&self, peer: &str, channel: LinkChannel, payload: Bytes) -> Result<()> {
        self.send_as(peer, channel, channel.default_class(), payload)
    }

    /// Sends `payload` to `peer` under `class`. It returns at once; a message
    /// is lost when its queue is full or its connection breaks, except that a
    /// notice is sent again and may so arrive twice.
    pub fn send_as(
        &self,
        peer: &str,
        channel: LinkChannel,
        class: LinkClass,
        payload: Bytes,
    ) -> Result<()> {
        check_size(channel, payload.len(), channel.max_message_bytes())?;
        let slot = self.core.slot(peer)?;
        let outcome = slot.lock_queue().push(channel, class, payload);
        peer_writer::record(&self.core.metrics, class, outcome);
        slot.queued.notify_one();
        match outcome {
            QueueOutcome::Queued | QueueOutcome::Displaced(_) => Ok(()),
            QueueOutcome::Full => Err(LinkError::QueueFull {
                peer: slot.name.clone(),
                class,
            }),
        }
    }

    /// Asks `peer` and waits for its answer, for `timeout` at most and never
    /// longer than [`MAX_CALL_TIME`](limits::MAX_CALL_TIME). An error after the request went
    /// out doesn't say whether the peer has acted on it.
    pub async fn call(
        &self,
        peer: &str,
        channel: LinkChannel,
        payload: Bytes,
        timeout: Duration,
    ) -> Result<Bytes> {
        self.call_over(peer, channel, payload, timeout, None).await
    }

    /// Asks `peer` as [`Self::call`] does, and goes on while the peer is silent: a suspended peer
    /// may still answer. `silent` is cancelled once it was silent for the idle timeout, so that
    /// the caller can ask another one meanwhile.
    pub async fn call_through_silence(
        &self,
        peer: &str,
        channel: LinkChannel,
        payload: Bytes,
        timeout: Duration,
        silent: &CancellationToken,
    ) -> Result<Bytes> {
        let silent = Some(silent);
        self.call_over(peer, channel, payload, timeout, silent)
            .await
    }

    async fn call_over(
        &self,
        peer: &str,
        channel: LinkChannel,
        payload: Bytes,
        timeout: Duration,
        silent: Option<&CancellationToken>,
    ) -> Result<Bytes> {
        check_size(channel, payload.len(), channel.max_message_bytes())?;
        let slot = self.core.slot(peer)?;
        let deadline = TokioInstant::now() + timeout.min(limits::MAX_CALL_TIME);
        let request = CallRequest {
            channel: channel.wire().into(),
            payload,
        };
        let request = Bytes::from(request.encode_to_vec());
        let (connection, streams) = open_call(&slot, deadline).await?;
        // The connection outlives a silence under streams alone.
        let connection_use = match silent {
            Some(_) => ConnectionUse::Stream,
            None => ConnectionUse::OwnCall,
        };
        let _guard = UseGuard::enter(connection.uses(), connection_use);
        count(&self.core.metrics.calls_sent, 1);
        count(&self.core.metrics.call_bytes_sent, request.len());
        let acknowledged = AtomicBool::new(false);
        let exchange = exchange(&slot.name, streams, request, channel, &acknowledged);
        let silence = async {
            connection.until_silent().await;
            if let Some(silent) = silent {
                silent.cancel();
                std::future::pending().await
            }
        };
        let exchange = async {
            tokio::select! {
                outcome = exchange => outcome,
                () = silence => Err(LinkError::Lost {
                    peer: slot.name.clone(),
                    detail: "the peer is silent".into(),
                }),
            }
        };
        match tokio::time::timeout_at(deadline, exchange).await {
            Ok(Err(LinkError::Lost { peer, detail })) => Err(lost(&connection, peer, detail)),
            Ok(outcome) => outcome,
            Err(_) => Err(LinkError::TimedOut {
                peer: slot.name.clone(),
                acknowledged: acknowledged.load(Ordering::Relaxed),
            }),
        }
    }

    /// Opens a stream of bytes to `peer`, and returns it with the peer's answer to `payload`.
    /// Nothing but `payload` is sent before the peer has accepted the stream. A peer of a version
    /// without streams does not answer.
    pub async fn open_stream(
        &self,
        peer: &str,
        channel: LinkChannel,
        payload: Bytes,
        timeout: Duration,
    ) -> Result<(LinkStream, Bytes)> {
        check_size(channel, payload.len(), channel.max_message_bytes())?;
        let slot = self.core.slot(peer)?;
        let deadline = TokioInstant::now() + timeout;
        let (connection, (send, receive)) = open_call(&slot, deadline).await?;
        let mut stream = LinkStream::new(send, receive, connection.uses());
        let request = CallRequest {
            channel: channel.wire().into(),
            payload,
        };
        let opening = async {
            stream.write_all(&[STREAM_MARKER]).await?;
            stream.write_header(&request).await?;
            stream.read_header::<CallReply>().await
        };
        let peer = slot.name.clone();
        let reply = match tokio::time::timeout_at(deadline, opening).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(error)) => return Err(lost(&connection, peer, error.to_string())),
            Err(_) => {
                return Err(LinkError::TimedOut {
                    peer,
                    acknowledged: false,
                });
            }
        };
        Ok((stream, read_outcome(&peer, reply.outcome)?))
    }

    /// Takes the streams of bytes that peers open on `channel` from now on.
    pub fn serve_streams(&self, channel: LinkChannel) -> mpsc::Receiver<InboundStream> {
        let (sender, receiver) = mpsc::channel(limits::SERVER_QUEUE);
        self.core.stream_servers[channel.index()].store(Some(Arc::new(sender)));
        receiver
    }

    /// Takes the one-way messages of `channel` from now on; an earlier
    /// subscriber gets no more. A slow one loses messages.
    pub fn subscribe(&self, channel: LinkChannel) -> mpsc::Receiver<InboundMessage> {
        let (sender, receiver) = mpsc::channel(limits::SUBSCRIBER_QUEUE);
        self.core.subscribers[channel.index()].store(Some(Arc::new(sender)));
        receiver
    }

    /// Takes the calls of `channel` from now on, in the place of an earlier
    /// server. When it is slow, callers are refused as busy.
    pub fn serve(&self, channel: LinkChannel) -> mpsc::Receiver<InboundCall> {
        let (sender, receiver) = mpsc::channel(limits::SERVER_QUEUE);
        self.core.servers[channel.index()].store(Some(Arc::new(sender)));
        receiver
    }

    /// Reads the certificate files again; when they have changed and are good,
    /// new connections use them and dialled ones are replaced. Bad files leave
    /// everything as it was. Tells whether there was a change.
    pub fn reload(&self) -> Result<bool> {
        reload(&self.core)
    }

    /// Waits until every call of a peer is answered, for `timeout` at most, and returns how many
    /// are not.
    pub async fn finish_served(&self, timeout: Duration) -> usize {
        let finished = async {
            while self.count_served() > 0 {
                tokio::time::sleep(limits::FINISH_POLL_INTERVAL).await;
            }
        };
        match tokio::time::timeout(timeout, finished).await {
            Ok(()) => 0,
            Err(_) => self.count_served(),
        }
    }

    /// Number of calls of peers in progress.
    fn count_served(&self) -> usize {
        let slots = self.core.slots.read();
        let slots = slots.unwrap_or_else(|poison| poison.into_inner());
        slots.values().map(|slot| slot.count_served()).sum()
    }

    /// Closes every connection; nothing is sent or accepted any more.
    pub async fn close(&self) {
        self.core.stop.cancel();
        self.core.endpoint.close(CLOSE_STOPPED.into(), b"stopped");
        self.core.endpoint.wait_idle().await;
    }
}

fn check_size(channel: LinkChannel, bytes: usize, limit: usize) -> Result<()> {
    if bytes <= limit {
        return Ok(());
    }
    Err(LinkError::TooLarge {
        bytes,
        limit,
        channel,
    })
}

type CallStreams = (quinn::SendStream, quinn::RecvStream);

/// Opens the streams of a call. Nothing has been sent until they are open, so
/// a connection that is found closed is simply passed over.
async fn open_call(
    slot: &PeerSlot,
    deadline: TokioInstant,
) -> Result<(Arc<LinkConnection>, CallStreams)> {
    loop {
        let connection = slot.connection(deadline).await?;
        match tokio::time::timeout_at(deadline, connection.quic.open_bi()).await {
            Ok(Ok(streams)) => return Ok((connection, streams)),
            Ok(Err(_)) => slot.prune(),
            Err(_) => {
                return Err(LinkError::Unreachable {
                    peer: slot.name.clone(),
                    detail: "too many calls are open".into(),
                });
            }
        }
    }
}

/// Sends a request and reads its answer. Sets `acknowledged` once the peer has received the whole
/// request.
async fn exchange(
    peer: &PeerName,
    (mut send, mut receive): CallStreams,
    request: Bytes,
    channel: LinkChannel,
    acknowledged: &AtomicBool,
) -> Result<Bytes> {
    let lost = |detail: String| LinkError::Lost {
        peer: peer.clone(),
        detail,
    };
    // A refused request may be stopped before it is all written; the answer
    // tells why.
    let written = send.write_chunk(request).await;
    if written.is_ok() {
        let _ = send.finish();
    }
    let limit = channel.max_reply_bytes() + limits::REPLY_ENVELOPE_BYTES;
    let acknowledgement = async {
        if let Ok(None) = send.stopped().await {
            acknowledged.store(true, Ordering::Relaxed);
        }
        std::future::pending::<Infallible>().await
    };
    let bytes = tokio::select! {
        bytes = receive.read_to_end(limit) => bytes,
        never = acknowledgement => match never {},
    };
    let bytes = bytes.map_err(|error| lost(error.to_string()))?;
    let reply = CallReply::decode(Bytes::from(bytes));
    read_outcome(peer, reply.ok().and_then(|reply| reply.outcome))
}

fn read_outcome(peer: &PeerName, outcome: Option<Outcome>) -> Result<Bytes> {
    match outcome {
        Some(Outcome::Payload(payload)) => Ok(payload),
        Some(Outcome::Refusal(refusal)) => Err(LinkError::Refused {
            peer: peer.clone(),
            refusal: CallRefusal::try_from(refusal).unwrap_or(CallRefusal::Unspecified),
        }),
        None => Err(LinkError::Malformed { peer: peer.clone() }),
    }
}

/// What a call is told that was lost with its connection.
fn lost(connection: &LinkConnection, peer: PeerName, detail: String) -> LinkError {
    let reason = connection.quic.close_reason();
    let detail = reason.map_or(detail, |reason| reason.to_string());
    LinkError::Lost { peer, detail }
}

async fn accept(core: Arc<HubCore>) {
    loop {
        let incoming = tokio::select! {
            () = core.stop.cancelled() => return,
            incoming = core.endpoint.accept() => incoming,
        };
        let Some(incoming) = incoming else { return };
        let free = core.handshakes.available_permits();
        let busy = free < limits::MAX_HANDSHAKES - limits::VALIDATED_HANDSHAKES;
        if busy && incoming.may_retry() && !incoming.remote_address_validated() {
            // It fails only when a retry is not allowed, which was asked.
            let _ = incoming.retry();
            continue;
        }
        match Arc::clone(&core.handshakes).try_acquire_owned() {
            Ok(permit) => {
                let core = Arc::clone(&core);
                tokio::spawn(async move {
                    welcome(core, incoming).await;
                    drop(permit);
                });
            }
            Err(_) => incoming.refuse(),
        }
    }
}

/// Finishes a handshake and takes the peer that its certificate names.
async fn welcome(core: Arc<HubCore>, incoming: quinn::Incoming) {
    let address = incoming.remote_address();
    let handshake = async {
        let quic = incoming.await?;
        connection_keeper::greet(&quic).await?;
        Ok(quic)
    };
    let quic = match tokio::time::timeout(core.timing.handshake_timeout, handshake).await {
        Ok(Ok(quic)) => quic,
        Ok(Err(error)) => return refused(address, &error),
        Err(_) => return,
    };
    let certificate = PeerCertificate::of(&quic);
    let stranger = certificate.filter(|certificate| {
        certificate.name != core.name && core.trust.admits(&certificate.name, address)
    });
    let slot = stranger.and_then(|certificate| core.slot(certificate.name.as_str()).ok());
    match slot {
        Some(slot) => core.adopt(&slot, quic, ConnectionOrigin::Accepted, None),
        None => {
            log_event!(
                warn,
                "link_refused",
                address = address,
                reason = "no good peer name"
            );
            quic.close(CLOSE_STOPPED.into(), b"no good peer name");
        }
    }
}

fn refused(address: SocketAddr, error: &quinn::ConnectionError) {
    match connection_keeper::failure_of(error) {
        DialFailure::Certificate(detail) => log_event!(
            warn,
            "link_refused",
            address = address,
            reason = detail,
            remedy = "issue the peer a new certificate by `savorywalk keys issue` from an authority that both ends name",
        ),
        DialFailure::Unknown | DialFailure::Unreachable(_) => {
            log_event!(debug, "link_not_opened", address = address, reason = error);
        }
    }
}

async fn reload_often(core: Arc<HubCore>, interval: Duration) {
    loop {
        tokio::select! {
            () = core.stop.cancelled() => return,
            () = tokio::time::sleep(interval) => {}
        }
        if let Err(error) = reload(&core) {
            log_event!(error, "link_reload_failed", error = error);
        }
    }
}

fn reload(core: &HubCore) -> Result<bool> {
    if core.trust != LinkTrust::Certificates {
        return Ok(false);
    }
    let current = core.identity.load_full();
    let texts = core.files.read()?;
    if texts == current.texts {
        return Ok(false);
    }
    let identity = LinkIdentity::load(&core.name, current.generation + 1, texts, core.timing)?;
    core.endpoint
        .set_server_config(Some(identity.server.clone()));
    core.identity.store(Arc::new(identity));
    log_event!(info, "link_identity_reloaded", node = core.name);
    Ok(true)
}

#[cfg(test)]
#[path = "link_hub_tests.rs"]
mod tests;
