use std::sync::{Mutex, MutexGuard, PoisonError};

use prost::Message;

use super::relay_table::{RelayCandidate, RelayTable};
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
    pub(super) async fn open(
        &self,
        entries: &[PeerName],
        member: &PoolMember,
    ) -> Result<LinkStream, RelayFailure> {
        let candidates = self.table().candidates(
            Instant::now(),
            &mut rand::rng(),
            entries,
            self.hub.name(),
            &self.hub.connected_peers(),
        );
        for RelayCandidate { peer, is_known } in candidates {
            if !is_known && !self.does_relay(&peer).await {
                continue;
            }
            let outcome = self.open_by(&peer, member).await;
            let (end, stream) = match outcome {
                Ok(outcome) => outcome,
                Err(reason) => {
                    self.record_failed(&peer, &reason);
                    continue;
                }
            };
            match end {
                RelayEnd::Connected => {
                    self.table().record_usable(&peer);
                    return Ok(stream);
                }
                RelayEnd::Unreachable => {
                    self.table().record_usable(&peer);
                    return Err(RelayFailure::Unreachable);
                }
                RelayEnd::Unspecified | RelayEnd::NoPath | RelayEnd::Unknown | RelayEnd::Busy => {
                    self.record_failed(&peer, end.as_str_name());
                }
            }
        }
        Err(RelayFailure::NoRelay)
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
