use std::sync::{Mutex, MutexGuard, PoisonError};

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use prost::Message;

use super::relay_table::{RelayCandidate, RelayEntries, RelayTable};
use crate::gateway::PoolMember;
use crate::generated::work::work_call::Call;
use crate::generated::work::{
    RelayEnd, RelayOpen, RelayQuery, RelayReply, RelayStanding, WorkCall,
};
use crate::prelude::*;
use crate::transport::{LinkChannel, LinkHub, LinkStream, PeerName};

/// Timeout of the question whether an entry relays: many round trips within a region.
const QUERY_TIMEOUT: Duration = Duration::from_millis(100);

/// Timeout of opening a relayed connection: the relaying entry gives up sooner.
const OPEN_TIMEOUT: Duration = Duration::from_millis(200);

/// Time after which the next entry is asked too: several round trips, and a small part of the
/// time for connecting.
const STAGGER: Duration = Duration::from_millis(25);

/// Entries that must fail to reach an endpoint before it counts as down; one of them may have
/// lost the same path.
const MIN_WITNESSES: usize = 2;

/// Why no entry relayed a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RelayFailure {
    /// An entry that reaches other endpoints does not reach this one.
    Unreachable,
    /// No entry that was asked relays, or none has a path itself.
    NoRelay,
}

/// Asks other entries to relay connections to endpoints.
#[derive(Debug)]
pub(super) struct RelayClient {
    hub: LinkHub,
    table: Mutex<RelayTable>,
}

impl RelayClient {
    pub(super) fn new(hub: LinkHub) -> Self {
        Self {
            hub,
            table: Mutex::default(),
        }
    }

    /// Has another entry connect to an endpoint. An error means that nothing was sent there.
    ///
    /// Several entries are asked, one shortly after the other, and the first that connects is
    /// used: one that has lost its path to the endpoint as well may take long to find out.
    pub(super) async fn open(
        &self,
        entries: &[PeerName],
        member: &PoolMember,
    ) -> Result<LinkStream, RelayFailure> {
        let pool = &member.record.announcement.pool;
        let candidates = self.table().candidates(
            Instant::now(),
            &mut rand::rng(),
            pool,
            RelayEntries {
                all: entries,
                own: self.hub.name(),
                linked: &self.hub.connected_peers(),
            },
        );
        let count = candidates.len();
        let asked = candidates
            .into_iter()
            .zip(0..)
            .map(async |(candidate, index)| {
                tokio::time::sleep(STAGGER * index).await;
                self.ask(&candidate, member).await
            });
        let mut asked = FuturesUnordered::from_iter(asked);
        let mut unreachable = 0;
        while let Some(outcome) = asked.next().await {
            match outcome {
                Ok(stream) => return Ok(stream),
                Err(RelayFailure::Unreachable) => unreachable += 1,
                Err(RelayFailure::NoRelay) => {}
            }
        }
        match unreachable > 0 && (unreachable == count || unreachable >= MIN_WITNESSES) {
            true => Err(RelayFailure::Unreachable),
            false => Err(RelayFailure::NoRelay),
        }
    }

    /// Asks one entry to connect to an endpoint.
    async fn ask(
        &self,
        candidate: &RelayCandidate,
        member: &PoolMember,
    ) -> Result<LinkStream, RelayFailure> {
        let RelayCandidate { peer, is_known } = candidate;
        if !is_known && !self.does_relay(peer).await {
            return Err(RelayFailure::NoRelay);
        }
        let (end, stream) = match self.open_by(peer, member).await {
            Ok(opened) => opened,
            Err(reason) => {
                self.record_failed(peer, &reason);
                return Err(RelayFailure::NoRelay);
            }
        };
        let pool = &member.record.announcement.pool;
        match end {
            RelayEnd::Connected => {
                self.table().record_usable(pool, peer);
                Ok(stream)
            }
            RelayEnd::Unreachable => {
                self.table().record_doubtful(Instant::now(), pool, peer);
                Err(RelayFailure::Unreachable)
            }
            RelayEnd::NoPath => {
                self.table().record_doubtful(Instant::now(), pool, peer);
                Err(RelayFailure::NoRelay)
            }
            RelayEnd::Unspecified | RelayEnd::Unknown | RelayEnd::Busy => {
                self.record_failed(peer, end.as_str_name());
                Err(RelayFailure::NoRelay)
            }
        }
    }

    fn record_failed(&self, peer: &PeerName, reason: &str) {
        log_event!(info, "relay_failed", peer = peer, reason = reason);
        self.table().record_failed(Instant::now(), peer);
    }

    /// Asks an entry whether it relays connections now.
    async fn does_relay(&self, peer: &PeerName) -> bool {
        let query = WorkCall {
            call: Some(Call::RelayQuery(RelayQuery {})),
        };
        let payload = query.encode_to_vec().into();
        let channel = LinkChannel::Work;
        let answer = self
            .hub
            .call(peer.as_str(), channel, payload, QUERY_TIMEOUT);
        match answer.await {
            Ok(answer) => match RelayStanding::decode(answer).unwrap_or_default().relays {
                Some(true) => true,
                Some(false) => {
                    self.record_failed(peer, "does not relay now");
                    false
                }
                None => {
                    self.table().record_earlier_version(Instant::now(), peer);
                    false
                }
            },
            Err(error) => {
                self.record_failed(peer, &error.to_string());
                false
            }
        }
    }

    async fn open_by(
        &self,
        peer: &PeerName,
        member: &PoolMember,
    ) -> Result<(RelayEnd, LinkStream), String> {
        let open = RelayOpen {
            pool: member.record.announcement.pool.clone(),
            endpoint: member.endpoint().to_string(),
        };
        let payload = open.encode_to_vec().into();
        let channel = LinkChannel::Work;
        let opening = self
            .hub
            .open_stream(peer.as_str(), channel, payload, OPEN_TIMEOUT);
        let (stream, answer) = opening.await.map_err(|error| error.to_string())?;
        let reply = RelayReply::decode(answer).map_err(|error| error.to_string())?;
        Ok((reply.end(), stream))
    }

    fn table(&self) -> MutexGuard<'_, RelayTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
