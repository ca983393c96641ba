//! Keeps one peer's connections: dials when something waits, replaces what
//! has gone silent or old, and backs off from a peer that can't be reached.

use quinn::{ConnectionError, VarInt};

use super::hub_core::HubCore;
use super::link_connection::ConnectionOrigin;
use super::link_limits as limits;
use super::link_metrics::count;
use super::peer_certificate::PeerCertificate;
use super::peer_slot::{DialFailure, PeerSlot};
use super::{LinkClass, PeerName};
use crate::prelude::*;

/// Transport error codes of QUIC from which on a TLS alert is told.
const CRYPTO_ERROR: u64 = 0x100;
/// Transport error codes of TLS alerts end before this one.
const CRYPTO_ERROR_END: u64 = 0x200;
/// Largest greeting, in bytes.
const MAX_GREETING_BYTES: usize = 256;
const CLOSE_STRANGER: u32 = 3;

/// A dialled connection, with the socket of its own if it has one.
type Dialled = (quinn::Connection, Option<quinn::Endpoint>, u64);

/// When the next dial may start; the pause doubles with each failure.
#[derive(Debug, Default)]
struct DialBackoff {
    failures: u32,
    until: Option<Instant>,
}

impl DialBackoff {
    fn wait(&self, now: Instant) -> Duration {
        let until = self.until.unwrap_or(now);
        until.saturating_duration_since(now)
    }

    fn failed(&mut self, now: Instant, longest: Duration) {
        let doubled = limits::MIN_DIAL_BACKOFF * 2_u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.until = Some(now + doubled.min(longest));
    }
}

/// Runs until the hub stops.
pub(super) async fn run(core: Arc<HubCore>, slot: Arc<PeerSlot>) {
    let mut backoff = DialBackoff::default();
    loop {
        let pause = pause(&slot, &backoff);
        tokio::select! {
            () = core.stop.cancelled() => return,
            () = slot.wanted.notified() => {}
            () = tokio::time::sleep(pause.unwrap_or_default()), if pause.is_some() => {}
        }
        let now = Instant::now();
        let generation = core.identity.load().generation;
        inspect(&core, &slot);
        let healthy = slot.has_healthy(now, generation);
        let needed = !healthy && (slot.has_open() || slot.is_wanted());
        if healthy {
            backoff = DialBackoff::default();
        }
        if needed && backoff.wait(now).is_zero() {
            tokio::select! {
                () = core.stop.cancelled() => return,
                () = dial_once(&core, &slot, &mut backoff) => {}
                () = inspect_often(&core, &slot) => {}
            }
        }
    }
}

/// Looks at the connections once.
fn inspect(core: &HubCore, slot: &PeerSlot) {
    let generation = core.identity.load().generation;
    let suspects = slot.inspect(Instant::now(), generation);
    if suspects > 0 {
        count(&core.metrics.connections_suspect, suspects);
        log_event!(warn, "link_suspect", peer = slot.name);
    }
}

/// Looks at the connections for as long as another one is being dialled.
async fn inspect_often(core: &HubCore, slot: &PeerSlot) {
    loop {
        tokio::time::sleep(limits::HEALTH_INTERVAL).await;
        inspect(core, slot);
    }
}

/// Time until the next look; none when nothing is open or wanted.
fn pause(slot: &PeerSlot, backoff: &DialBackoff) -> Option<Duration> {
    if slot.has_open() {
        return Some(limits::HEALTH_INTERVAL);
    }
    let wait = backoff.wait(Instant::now());
    slot.is_wanted().then(|| wait.max(Duration::from_millis(1)))
}

async fn dial_once(core: &Arc<HubCore>, slot: &Arc<PeerSlot>, backoff: &mut DialBackoff) {
    let fresh_socket = backoff.failures > 0 || slot.has_open();
    match dial(core, &slot.name, fresh_socket).await {
        Ok((quic, socket, generation)) => {
            *backoff = DialBackoff::default();
            core.adopt(slot, quic, ConnectionOrigin::Dialled { generation }, socket);
        }
        Err(failure) => {
            log_event!(
                info,
                "link_dial_failed",
                peer = slot.name,
                failure = format!("{failure:?}")
            );
            backoff.failed(Instant::now(), core.timing.max_dial_backoff);
            slot.dial_failed(failure);
            if backoff.failures >= limits::MAX_QUEUED_DIALS {
                drop_queue(core, slot);
            }
        }
    }
}

fn drop_queue(core: &HubCore, slot: &PeerSlot) {
    let lost = slot.lock_queue().clear();
    for class in LinkClass::ALL {
        core.metrics.dropped(class, lost[class.index()]);
    }
}

/// Dials from the hub's socket, or from a fresh one: what lies between the two
/// ends may have lost track of the first one's address and port.
async fn dial(core: &HubCore, peer: &PeerName, fresh_socket: bool) -> Result<Dialled, DialFailure> {
    let listed = core.book.get(peer.as_str());
    let address = listed.or_else(|| core.trust.address_of(peer.as_str()));
    let address = address.ok_or(DialFailure::Unknown)?;
    let identity = core.identity.load_full();
    let socket = match fresh_socket {
        true => Some(fresh_endpoint(core)?),
        false => None,
    };
    let endpoint = socket.as_ref().unwrap_or(&core.endpoint);
    let connecting = endpoint.connect_with(identity.client.clone(), address, peer.as_str());
    let connecting = connecting.map_err(|error| DialFailure::Unreachable(error.to_string()))?;
    let handshake = async {
        let quic = connecting.await.map_err(|error| failure_of(&error))?;
        greeted(&quic).await?;
        Ok(quic)
    };
    let quic = match tokio::time::timeout(core.timing.handshake_timeout, handshake).await {
        Ok(outcome) => outcome?,
        Err(_) => {
            return Err(DialFailure::Unreachable(
                "no answer to the handshake".into(),
            ));
        }
    };
    if PeerCertificate::of(&quic).is_none_or(|certificate| certificate.name != *peer) {
        quic.close(CLOSE_STRANGER.into(), b"not the peer that was dialled");
        return Err(DialFailure::Certificate(
            "the certificate is for another name".into(),
        ));
    }
    Ok((quic, socket, identity.generation))
}

fn fresh_endpoint(core: &HubCore) -> Result<quinn::Endpoint, DialFailure> {
    let address = SocketAddr::new(core.ip, 0);
    quinn::Endpoint::client(address).map_err(|error| DialFailure::Unreachable(error.to_string()))
}

/// Waits until the peer has accepted this daemon's certificate, which TLS 1.3
/// tells only after the dialler's own handshake is done.
async fn greeted(quic: &quinn::Connection) -> Result<(), DialFailure> {
    let mut stream = quic
        .accept_uni()
        .await
        .map_err(|error| failure_of(&error))?;
    match stream.read_to_end(MAX_GREETING_BYTES).await {
        Ok(_) => Ok(()),
        Err(error) => match quic.close_reason() {
            Some(reason) => Err(failure_of(&reason)),
            None => Err(DialFailure::Unreachable(error.to_string())),
        },
    }
}

/// Tells an acceptor's greeting; its arrival is all that it says.
pub(super) async fn greet(quic: &quinn::Connection) -> Result<(), ConnectionError> {
    let mut stream = quic.open_uni().await?;
    // A stream that can't be finished belongs to a connection that is closing.
    let _ = stream.finish();
    Ok(())
}

/// Why a connection failed, with refused certificates told apart.
pub(super) fn failure_of(error: &ConnectionError) -> DialFailure {
    let code = match error {
        ConnectionError::TransportError(error) => u64::from(error.code),
        ConnectionError::ConnectionClosed(close) => u64::from(close.error_code),
        ConnectionError::VersionMismatch
        | ConnectionError::ApplicationClosed(_)
        | ConnectionError::Reset
        | ConnectionError::TimedOut
        | ConnectionError::LocallyClosed
        | ConnectionError::CidsExhausted => VarInt::from_u32(0).into_inner(),
    };
    if (CRYPTO_ERROR..CRYPTO_ERROR_END).contains(&code) {
        return DialFailure::Certificate(error.to_string());
    }
    DialFailure::Unreachable(error.to_string())
}
