use futures::stream::{FuturesUnordered, StreamExt};
use prost::Message;

use super::{OnlyOrigin, OriginExchange, StreamKey, StreamOrigin, origin_homes};
use crate::gateway::gateway_node::GatewayNode;
use crate::generated::work::work_call::Call;
use crate::generated::work::{OriginQuery, OriginReply, WorkCall};
use crate::prelude::*;
use crate::transport::{LinkChannel, PeerName};

/// Timeout of asking the homes of a stream: many round trips within a region.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(150);

/// Maximum age of the knowledge by which an origin counts as the only one: an entry that follows
/// control has it confirmed several times a second.
const MAX_KNOWLEDGE_AGE: Duration = Duration::from_millis(1_500);

/// The origin of a stream that a caller takes up, by how it was found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum FoundOrigin {
    /// An entry holds it.
    Held(StreamOrigin),
    /// Only this one can have begun it.
    OnlyVersion(StreamOrigin),
}

/// A stream whose origin is looked for.
#[derive(Clone, Copy, Debug)]
pub(in crate::gateway) struct StreamQuestion<'a> {
    /// Its key; `None` if its caller names none.
    pub(in crate::gateway) key: Option<StreamKey>,
    /// Key by which homes are chosen without one.
    pub(in crate::gateway) request_key: StreamKey,
    /// Name of its route.
    pub(in crate::gateway) route: &'a str,
    /// Longest time ago at which it can have begun.
    pub(in crate::gateway) time: Duration,
}

impl StreamQuestion<'_> {
    fn home_key(&self) -> StreamKey {
        self.key.unwrap_or(self.request_key)
    }
}

/// Questions to other entries.
impl OriginExchange {
    /// Asks the homes of a stream for its origin, or for the only one that streams of its route have
    /// had for long enough. `None` if they know neither or do not answer in time.
    ///
    /// A copy goes before the only origin: another home may not know of the newest version yet.
    pub(in crate::gateway) async fn ask_homes(
        &self,
        entries: &[PeerName],
        stream: StreamQuestion<'_>,
    ) -> Option<FoundOrigin> {
        let homes = origin_homes(&stream.home_key(), entries).into_iter();
        let homes = homes.filter(|home| *home != self.hub.name());
        let mut replies: FuturesUnordered<_> = homes.map(|home| self.ask(home, stream)).collect();
        let mut only_version = None;
        while let Some(reply) = replies.next().await {
            let reply = reply.unwrap_or_default();
            if let Some(held) = reply.origin {
                return Some(FoundOrigin::Held(StreamOrigin::from_message(held)));
            }
            let is_certain = Duration::from_millis(reply.only_for_ms.into()) >= stream.time;
            let only = reply.only.filter(|_| is_certain);
            let only = only.map(StreamOrigin::from_message);
            only_version = only_version.or(only.map(FoundOrigin::OnlyVersion));
        }
        only_version
    }

    async fn ask(&self, home: &PeerName, stream: StreamQuestion<'_>) -> Option<OriginReply> {
        let key = stream.key.map(|key| key.as_bytes().to_vec());
        let query = OriginQuery {
            key: key.unwrap_or_default().into(),
            route: stream.route.to_string(),
        };
        let call = WorkCall {
            call: Some(Call::OriginQuery(query)),
        };
        let payload = call.encode_to_vec().into();
        let answer = self
            .hub
            .call(home.as_str(), LinkChannel::Work, payload, LOOKUP_TIMEOUT);
        let reply = match answer.await {
            Ok(answer) => OriginReply::decode(answer).map_err(|error| error.to_string()),
            Err(error) => Err(error.to_string()),
        };
        if let Err(reason) = &reply {
            log_event!(debug, "origin_unanswered", home = home, reason = reason);
        }
        reply.ok()
    }
}

/// Answers from what this entry holds and knows.
impl GatewayNode {
    /// Answers another entry's query.
    pub(in crate::gateway) fn answer_origin(&self, query: &OriginQuery) -> OriginReply {
        let key = StreamKey::from_bytes(&query.key);
        let held = key.and_then(|key| self.origins.held(&key));
        let only = self.only_origin(&query.route);
        OriginReply {
            origin: held.as_ref().map(StreamOrigin::to_message),
            only_for_ms: only.as_ref().map_or(0, |only| only.time.as_millis() as u32),
            only: only.map(|only| only.origin.to_message()),
        }
    }

    /// The only origin that streams of a route have had, as far as this entry knows. `None` if there
    /// were several, or if control has not confirmed lately what this entry knows.
    pub(in crate::gateway) fn only_origin(&self, route: &str) -> Option<OnlyOrigin> {
        let aged_view = self.aged_view();
        if !aged_view.is_fresh(MAX_KNOWLEDGE_AGE) {
            return None;
        }
        let (now, view) = (Instant::now(), &aged_view.view);
        let (pool, served) = view.route_history.only_pool(now, route)?;
        let (version, time) = view.roster.only_version(now, pool)?;
        Some(OnlyOrigin {
            origin: StreamOrigin {
                pool: pool.to_string(),
                version: Some(Arc::clone(version)),
            },
            time: time.min(served),
        })
    }
}
