use std::sync::atomic::{AtomicUsize, Ordering};

use prost::Message;
use tokio::io::{AsyncWriteExt, copy};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::gateway::gateway_node::GatewayNode;
use crate::generated::work::{RelayEnd, RelayOpen, RelayReply};
use crate::prelude::*;
use crate::transport::{InboundStream, LinkStream};

/// Timeout of connecting to an endpoint for another entry, which waits somewhat longer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Connections relayed at the same time; each takes a descriptor and some 20 KB.
const MAX_RELAYED: usize = 512;

/// Interval at which a stop looks whether connections are still relayed.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Counts the connections that this entry relays for others.
#[derive(Debug, Default)]
pub(in crate::gateway) struct RelayService {
    relayed: AtomicUsize,
}

/// Counts one relayed connection until it is dropped.
struct RelayGuard<'a>(&'a RelayService);

impl Drop for RelayGuard<'_> {
    fn drop(&mut self) {
        self.0.relayed.fetch_sub(1, Ordering::Relaxed);
    }
}

impl RelayService {
    fn begin(&self) -> Option<RelayGuard<'_>> {
        let before = self.relayed.fetch_add(1, Ordering::Relaxed);
        let guard = RelayGuard(self);
        (before < MAX_RELAYED).then_some(guard)
    }

    /// Number of connections relayed now.
    pub(in crate::gateway) fn count(&self) -> usize {
        self.relayed.load(Ordering::Relaxed)
    }

    /// Waits until no connection is relayed, for `timeout` at most.
    pub(in crate::gateway) async fn drain(&self, timeout: Duration) {
        let draining = async {
            while self.count() > 0 {
                tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        if tokio::time::timeout(timeout, draining).await.is_err() {
            log_event!(info, "relayed_connections_cut", count = self.count());
        }
    }
}

/// Relays the connections that other entries ask for.
pub(in crate::gateway) async fn run(
    node: Arc<GatewayNode>,
    mut streams: mpsc::Receiver<InboundStream>,
) {
    while let Some(inbound) = streams.recv().await {
        let node = Arc::clone(&node);
        tokio::spawn(async move { serve(&node, inbound).await });
    }
}

impl GatewayNode {
    /// Whether this entry relays connections for others now.
    pub(in crate::gateway) fn does_relay(&self) -> bool {
        !self.stop.has_begun() && !self.connector.is_isolated()
    }
}

async fn serve(node: &GatewayNode, inbound: InboundStream) {
    let open = RelayOpen::decode(inbound.payload.clone()).unwrap_or_default();
    let guard = node.relay_service.begin();
    let outcome = match &guard {
        Some(_) if !node.stop.has_begun() => connect(node, &open).await,
        Some(_) | None => Err(RelayEnd::Busy),
    };
    let end = match &outcome {
        Ok(_) => RelayEnd::Connected,
        Err(end) => *end,
    };
    log_event!(
        debug,
        "relay_opened",
        peer = inbound.from,
        endpoint = open.endpoint,
        end = end.as_str_name()
    );
    let reply = RelayReply { end: end.into() };
    let Ok(mut stream) = inbound.accept(reply.encode_to_vec().into()).await else {
        return;
    };
    match outcome {
        Ok(connection) => pass_on(connection, stream).await,
        // The reply may still be on its way, so the stream ends rather than being reset.
        Err(_) => drop(stream.shutdown().await),
    }
}

async fn connect(node: &GatewayNode, open: &RelayOpen) -> Result<TcpStream, RelayEnd> {
    let view = node.view.load_full();
    let member = view.roster.member(&open.pool, &open.endpoint);
    let member = member.ok_or(RelayEnd::Unknown)?;
    if node.connector.has_lost(member.endpoint()) {
        return Err(RelayEnd::NoPath);
    }
    let connecting = node.connector.connect_directly(member, CONNECT_TIMEOUT);
    connecting
        .await
        .map_err(|_| match node.connector.reaches_endpoints() {
            true => RelayEnd::Unreachable,
            false => RelayEnd::NoPath,
        })
}

/// Passes bytes on in both directions until one of them ends.
///
/// An end from the entry means that it has given the call up, so the connection is closed, which
/// cancels the work at the endpoint. A connection that breaks resets the stream, so that an
/// answer without a length does not look complete.
async fn pass_on(mut connection: TcpStream, stream: LinkStream) {
    let (mut from_entry, mut to_entry) = tokio::io::split(stream);
    let (mut from_endpoint, mut to_endpoint) = connection.split();
    tokio::select! {
        _ = copy(&mut from_entry, &mut to_endpoint) => {}
        ended = copy(&mut from_endpoint, &mut to_entry) => {
            if ended.is_ok() && let Err(error) = to_entry.shutdown().await {
                log_event!(debug, "relay_not_ended", reason = error);
            }
        }
    }
}
