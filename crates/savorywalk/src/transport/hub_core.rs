use std::net::IpAddr;
use std::sync::{Mutex, RwLock};

use arc_swap::ArcSwapOption;
use tokio::runtime::Handle;
use tokio::sync::{Semaphore, mpsc};
use tokio_util::sync::CancellationToken;

use super::link_connection::{ConnectionOrigin, LinkConnection};
use super::link_identity::LinkIdentity;
use super::link_metrics::count;
use super::peer_slot::PeerSlot;
use super::queue_quota::QueueQuota;
use super::{
    AddressBook, CertificateFiles, InboundCall, InboundMessage, InboundStream, LinkBudget,
    LinkChannel, LinkError, LinkMetrics, LinkTiming, LinkTrust, PeerName, Result,
    connection_keeper, inbound_reader, link_limits as limits, peer_writer,
};
use crate::prelude::*;

/// What the tasks of one hub share.
#[derive(Debug)]
pub(super) struct HubCore {
    pub(super) name: PeerName,
    pub(super) runtime: Handle,
    pub(super) files: CertificateFiles,
    pub(super) trust: LinkTrust,
    pub(super) timing: LinkTiming,
    pub(super) identity: ArcSwap<LinkIdentity>,
    pub(super) endpoint: quinn::Endpoint,
    pub(super) ip: IpAddr,
    pub(super) book: AddressBook,
    pub(super) budget: Mutex<LinkBudget>,
    pub(super) metrics: Arc<LinkMetrics>,
    pub(super) handshakes: Arc<Semaphore>,
    pub(super) stop: CancellationToken,
    pub(super) subscribers: [ArcSwapOption<mpsc::Sender<InboundMessage>>; LinkChannel::ALL.len()],
    pub(super) servers: [ArcSwapOption<mpsc::Sender<InboundCall>>; LinkChannel::ALL.len()],
    pub(super) stream_servers: [ArcSwapOption<mpsc::Sender<InboundStream>>; LinkChannel::ALL.len()],
    pub(super) quota: Arc<QueueQuota>,
    pub(super) slots: RwLock<FastMap<PeerName, Arc<PeerSlot>>>,
}

impl HubCore {
    /// The slot of `peer`, made when it is new.
    pub(super) fn slot(self: &Arc<Self>, peer: &str) -> Result<Arc<PeerSlot>> {
        if let Some(slot) = self.known_slot(peer) {
            return Ok(slot);
        }
        let name = PeerName::new(peer)?;
        let mut slots = self
            .slots
            .write()
            .unwrap_or_else(|poison| poison.into_inner());
        if let Some(slot) = slots.get(&name) {
            return Ok(Arc::clone(slot));
        }
        if slots.len() >= limits::MAX_PEERS {
            return Err(LinkError::TooManyPeers(limits::MAX_PEERS));
        }
        if self.stop.is_cancelled() {
            return Err(LinkError::Closed);
        }
        let slot = PeerSlot::new(&self.name, name.clone(), Arc::clone(&self.quota));
        let slot = Arc::new(slot);
        slots.insert(name, Arc::clone(&slot));
        self.runtime
            .spawn(connection_keeper::run(Arc::clone(self), Arc::clone(&slot)));
        self.runtime
            .spawn(peer_writer::run(Arc::clone(self), Arc::clone(&slot)));
        Ok(slot)
    }

    /// The slot of `peer`, when there is one.
    pub(super) fn known_slot(&self, peer: &str) -> Option<Arc<PeerSlot>> {
        let slots = self
            .slots
            .read()
            .unwrap_or_else(|poison| poison.into_inner());
        slots.get(peer).cloned()
    }

    /// Takes a connection whose peer is proved, and reads from it.
    pub(super) fn adopt(
        self: &Arc<Self>,
        slot: &Arc<PeerSlot>,
        quic: quinn::Connection,
        origin: ConnectionOrigin,
        socket: Option<quinn::Endpoint>,
    ) {
        count(&self.metrics.connections_opened, 1);
        log_event!(
            debug,
            "link_opened",
            peer = slot.name,
            address = quic.remote_address()
        );
        let connection = LinkConnection::new(Instant::now(), quic, origin, socket, self.timing);
        self.runtime.spawn(inbound_reader::read_batches(
            Arc::clone(self),
            Arc::clone(slot),
            connection.quic.clone(),
        ));
        self.runtime.spawn(inbound_reader::read_calls(
            Arc::clone(self),
            Arc::clone(slot),
            connection.quic.clone(),
            Arc::clone(connection.uses()),
        ));
        slot.adopt(connection);
    }

    /// The budget, locked.
    pub(super) fn lock_budget(&self) -> std::sync::MutexGuard<'_, LinkBudget> {
        self.budget
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }
}
