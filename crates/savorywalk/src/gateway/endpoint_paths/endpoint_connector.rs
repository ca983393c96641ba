use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::net::TcpStream;
use tokio::sync::{Notify, Semaphore};

use super::path_table::{EndpointPath, PathChoice, PathTable};
use super::relay_client::{RelayClient, RelayFailure};
use super::{EndpointNetwork, EndpointStream};
use crate::gateway::PoolMember;
use crate::gateway::endpoint_call::CallError;
use crate::prelude::*;
use crate::transport::{LinkHub, LinkStream, PeerName};

/// Timeout of connecting to an endpoint. Within a region, a round trip takes 3 ms and accepting
/// 1 ms. TCP resends a lost first packet only after a second; another endpoint is tried long
/// before that.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout of a direct connection while the path counts as lost and no relay helps.
const LOST_PATH_TIMEOUT: Duration = Duration::from_millis(100);

/// Relays tried at the same time for paths that do not count as lost, so that a pool that is down
/// for everybody does not load other entries.
const MAX_RACES: usize = 8;

/// Connects this entry to endpoints, by a relay where its own path is lost.
///
/// A relay carries the bytes of one connection. Deadlines, permits, retries and the proof that
/// nothing has run stay with this entry, so a request counts once whatever its path is.
#[derive(Debug)]
pub(in crate::gateway) struct EndpointConnector {
    network: Arc<dyn EndpointNetwork>,
    relays: RelayClient,
    table: Mutex<PathTable>,
    races: Semaphore,
    /// Wakes the prober when a path is lost.
    path_lost: Notify,
}

impl EndpointConnector {
    pub(in crate::gateway) fn new(network: Arc<dyn EndpointNetwork>, hub: LinkHub) -> Self {
        Self {
            network,
            relays: RelayClient::new(hub),
            table: Mutex::default(),
            races: Semaphore::new(MAX_RACES),
            path_lost: Notify::new(),
        }
    }

    /// Connects to an endpoint. An error means that nothing was sent.
    pub(in crate::gateway) async fn open(
        &self,
        entries: &[PeerName],
        member: &PoolMember,
    ) -> Result<EndpointStream, CallError> {
        let choice = self.table().choose(Instant::now(), member.endpoint());
        match choice {
            PathChoice::Direct => self.open_direct(member).await,
            PathChoice::Race(head_start) => self.race(entries, member, head_start).await,
            PathChoice::Relay => match self.relays.open(entries, member).await {
                Ok(stream) => Ok(EndpointStream::Relayed(stream)),
                Err(_) => {
                    let connecting = self.open_direct(member);
                    let connected = tokio::time::timeout(LOST_PATH_TIMEOUT, connecting).await;
                    connected.unwrap_or_else(|_| Err(timed_out()))
                }
            },
        }
    }

    /// Connects to an address without a relay.
    pub(in crate::gateway) async fn connect_to(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<TcpStream, CallError> {
        let connecting = tokio::time::timeout(timeout, self.network.connect(address));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(CallError::Unsent(error.to_string())),
            Err(_) => return Err(timed_out()),
        };
        if let Err(error) = stream.set_nodelay(true) {
            log_event!(debug, "nodelay_not_set", error = error);
        }
        Ok(stream)
    }

    /// Connects to an endpoint without a relay, and records whether that succeeds.
    pub(super) async fn connect_directly(
        &self,
        member: &PoolMember,
        timeout: Duration,
    ) -> Result<TcpStream, CallError> {
        let connected = self.connect_to(member.address(), timeout).await;
        match &connected {
            Ok(_) => self.record_connected(member.endpoint()),
            Err(_) => self.table().record_failed(),
        }
        connected
    }

    /// Whether an endpoint that this entry does not reach is probably down.
    pub(super) fn reaches_endpoints(&self) -> bool {
        self.table().reaches_endpoints(Instant::now())
    }

    /// Whether the path to an endpoint counts as lost.
    pub(in crate::gateway) fn has_lost(&self, endpoint: &str) -> bool {
        self.table().choose(Instant::now(), endpoint) == PathChoice::Relay
    }

    /// Whether this entry seems to have no path to any endpoint.
    pub(in crate::gateway) fn is_isolated(&self) -> bool {
        self.table().is_isolated()
    }

    /// Number of endpoints to which this entry has lost its path.
    pub(in crate::gateway) fn lost_paths(&self) -> usize {
        self.table().lost_count()
    }

    async fn open_direct(&self, member: &PoolMember) -> Result<EndpointStream, CallError> {
        let stream = self.connect_directly(member, CONNECT_TIMEOUT).await?;
        Ok(EndpointStream::Direct(stream))
    }

    /// Connects directly, and by a relay as well if that takes longer than `head_start` or fails.
    async fn race(
        &self,
        entries: &[PeerName],
        member: &PoolMember,
        head_start: Duration,
    ) -> Result<EndpointStream, CallError> {
        let mut direct = Box::pin(self.open_direct(member));
        let early_error = tokio::select! {
            biased;
            connected = &mut direct => match connected {
                Ok(stream) => return Ok(stream),
                Err(error) => Some(error),
            },
            () = tokio::time::sleep(head_start) => None,
        };
        let Ok(_race) = self.races.try_acquire() else {
            return match early_error {
                Some(error) => Err(error),
                None => direct.await,
            };
        };
        let relaying = tokio::time::timeout(CONNECT_TIMEOUT, self.relays.open(entries, member));
        let mut relaying = Box::pin(relaying);
        let direct_error = match early_error {
            Some(error) => error,
            None => tokio::select! {
                biased;
                connected = &mut direct => match connected {
                    Ok(stream) => return Ok(stream),
                    Err(error) => error,
                },
                relayed = &mut relaying => match relayed {
                    Ok(Ok(stream)) => return Ok(self.use_relay(member, stream)),
                    failed => {
                        let connected = direct.await;
                        if connected.is_err() {
                            self.record_unreachable(member, &failed);
                        }
                        return connected;
                    }
                },
            },
        };
        match relaying.await {
            Ok(Ok(stream)) => Ok(self.use_relay(member, stream)),
            failed => {
                self.record_unreachable(member, &failed);
                Err(direct_error)
            }
        }
    }

    /// Records that a relay reached an endpoint that this entry does not reach.
    fn use_relay(&self, member: &PoolMember, stream: LinkStream) -> EndpointStream {
        let path = EndpointPath {
            pool: member.record.announcement.pool.clone(),
            endpoint: member.endpoint().to_string(),
        };
        let mut table = self.table();
        let is_new = table.record_lost(Instant::now(), path);
        let (lost, is_isolated) = (table.lost_count(), table.is_isolated());
        drop(table);
        if is_new {
            log_event!(
                info,
                "path_lost",
                endpoint = member.endpoint(),
                lost = lost,
                isolated = is_isolated
            );
            self.path_lost.notify_one();
        }
        EndpointStream::Relayed(stream)
    }

    fn record_unreachable<T, E>(
        &self,
        member: &PoolMember,
        failed: &Result<Result<T, RelayFailure>, E>,
    ) {
        if let Ok(Err(RelayFailure::Unreachable)) = failed {
            self.table()
                .record_unreachable(Instant::now(), member.endpoint());
        }
    }

    fn record_connected(&self, endpoint: &str) {
        if self.table().record_connected(Instant::now(), endpoint) {
            log_event!(info, "path_restored", endpoint = endpoint);
        }
    }

    /// Waits until a path may have been lost.
    pub(super) async fn until_path_lost(&self) {
        self.path_lost.notified().await;
    }

    /// Returns the next lost path to probe.
    pub(super) fn take_probe(&self) -> Option<EndpointPath> {
        self.table().take_probe(Instant::now())
    }

    /// Probes a lost path; `member` is `None` if the endpoint has left.
    pub(super) async fn probe(&self, path: &EndpointPath, member: Option<&PoolMember>) {
        let Some(member) = member else {
            return self.table().forget(&path.endpoint);
        };
        let connecting = self.connect_to(member.address(), CONNECT_TIMEOUT);
        if connecting.await.is_ok() {
            let mut table = self.table();
            let lost = table.lost_count();
            table.record_restored(Instant::now(), member.endpoint());
            drop(table);
            log_event!(
                info,
                "paths_restored",
                endpoint = member.endpoint(),
                paths = lost
            );
        }
    }

    fn table(&self) -> MutexGuard<'_, PathTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn timed_out() -> CallError {
    CallError::Unsent("connecting timed out".into())
}
