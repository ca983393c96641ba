use std::sync::{Mutex, MutexGuard, PoisonError, Weak};

use futures::stream::{FuturesUnordered, StreamExt};
use prost::Message;

use super::origin_table::MAX_LIFETIME;
use super::{OnlyOrigin, OriginTable, StreamKey, StreamOrigin, origin_homes};
use crate::gateway::gateway_node::GatewayNode;
use crate::generated::work::work_call::Call;
use crate::generated::work::work_notice::Notice;
use crate::generated::work::{
    OriginNotice, OriginQuery, OriginRecord, OriginReply, WorkCall, WorkNotice,
};
use crate::prelude::*;
use crate::transport::{LinkChannel, LinkClass, LinkHub, PeerName};

/// Timeout of asking the homes of a stream: many round trips within a region.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(150);

/// Interval at which the origins of open streams are sent to their homes again, which may have
/// restarted, joined or missed them.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum age of the knowledge by which an origin counts as the only one: an entry that follows
/// control has it confirmed several times a second.
const MAX_KNOWLEDGE_AGE: Duration = Duration::from_millis(1_500);

/// Records of one notice, so that it stays small beside calls.
const MAX_RECORDS: usize = 256;

/// Keeps the origins of streams, and exchanges them with other entries.
#[derive(Debug)]
pub(in crate::gateway) struct OriginExchange {
    hub: LinkHub,
    /// Origins that this entry holds for all entries.
    table: Mutex<OriginTable>,
    /// Streams that this entry relays now.
    open: Mutex<FastMap<StreamKey, OpenOrigin>>,
}

#[derive(Clone, Debug)]
struct OpenOrigin {
    origin: StreamOrigin,
    /// When the caller stops waiting.
    expires: Instant,
    /// Number of relays of the stream: a caller may take it up before the earlier one has ended.
    relays: usize,
}

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

/// Keeps the origin of an open stream at its homes until it is dropped.
#[derive(Debug)]
pub(in crate::gateway) struct OriginGuard {
    node: Arc<GatewayNode>,
    key: StreamKey,
}

impl Drop for OriginGuard {
    fn drop(&mut self) {
        let mut open = self.node.origins.open();
        if let Some(stream) = open.get_mut(&self.key) {
            stream.relays -= 1;
        }
        open.retain(|_, stream| stream.relays > 0);
    }
}

impl OriginExchange {
    pub(in crate::gateway) fn new(hub: LinkHub) -> Self {
        Self {
            hub,
            table: Mutex::default(),
            open: Mutex::default(),
        }
    }

    fn table(&self) -> MutexGuard<'_, OriginTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn open(&self) -> MutexGuard<'_, FastMap<StreamKey, OpenOrigin>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of origins that this entry holds.
    pub(in crate::gateway) fn count(&self) -> usize {
        self.table().len()
    }

    /// Keeps the origins that another entry has sent.
    pub(in crate::gateway) fn adopt(&self, notice: OriginNotice) {
        let now = Instant::now();
        let mut table = self.table();
        let mut dropped = 0;
        for record in notice.records {
            let (Some(key), Some(origin)) = (StreamKey::from_bytes(&record.key), record.origin)
            else {
                continue;
            };
            let lifetime = Duration::from_millis(record.lifetime_ms.into());
            let origin = StreamOrigin::from_message(origin);
            dropped += usize::from(!table.insert(now, key, origin, lifetime));
        }
        drop(table);
        if dropped > 0 {
            log_event!(warn, "origins_dropped", count = dropped);
        }
    }

    /// The origin of a stream that this entry holds.
    pub(in crate::gateway) fn held(&self, key: &StreamKey) -> Option<StreamOrigin> {
        self.table().find(Instant::now(), key).cloned()
    }

    /// Asks the homes of a stream for its origin, or for the only one that streams of `route` have
    /// had for at least `time`. `None` if they know neither or do not answer in time.
    pub(in crate::gateway) async fn ask_homes(
        &self,
        entries: &[PeerName],
        stream: StreamQuestion<'_>,
    ) -> Option<FoundOrigin> {
        let homes = origin_homes(&stream.home_key(), entries).into_iter();
        let homes = homes.filter(|home| *home != self.hub.name());
        let mut replies: FuturesUnordered<_> = homes.map(|home| self.ask(home, stream)).collect();
        while let Some(reply) = replies.next().await {
            let reply = reply.unwrap_or_default();
            let held = reply.origin.map(StreamOrigin::from_message);
            let is_certain = Duration::from_millis(reply.only_for_ms.into()) >= stream.time;
            let only = reply.only.filter(|_| is_certain);
            let only = only.map(StreamOrigin::from_message);
            let found = held
                .map(FoundOrigin::Held)
                .or(only.map(FoundOrigin::OnlyVersion));
            if found.is_some() {
                return found;
            }
        }
        None
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

    /// Sends the origins of open streams to their homes.
    fn send<'a>(
        &self,
        entries: &[PeerName],
        streams: impl Iterator<Item = (&'a StreamKey, &'a OpenOrigin)>,
    ) {
        let now = Instant::now();
        let mut batches: BTreeMap<&PeerName, Vec<OriginRecord>> = BTreeMap::new();
        for (key, stream) in streams {
            let lifetime = stream.expires.saturating_duration_since(now);
            let record = OriginRecord {
                key: key.as_bytes().to_vec().into(),
                origin: Some(stream.origin.to_message()),
                lifetime_ms: lifetime.as_millis() as u32,
            };
            for home in origin_homes(key, entries) {
                batches.entry(home).or_default().push(record.clone());
            }
        }
        for (home, records) in batches {
            for records in records.chunks(MAX_RECORDS) {
                self.send_records(home, records.to_vec());
            }
        }
    }

    fn send_records(&self, home: &PeerName, records: Vec<OriginRecord>) {
        let notice = OriginNotice { records };
        if home == self.hub.name() {
            self.adopt(notice);
            return;
        }
        let notice = WorkNotice {
            notice: Some(Notice::Origins(notice)),
        };
        let payload = notice.encode_to_vec().into();
        let (channel, class) = (LinkChannel::Work, LinkClass::Notice);
        // The next refresh sends what was lost.
        if let Err(error) = self.hub.send_as(home.as_str(), channel, class, payload) {
            log_event!(debug, "origins_not_sent", home = home, reason = error);
        }
    }
}

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

    /// Keeps the origin of a stream whose first event has arrived, here and at its homes, while the
    /// caller may take it up.
    pub(in crate::gateway) fn hold_origin(
        self: &Arc<Self>,
        key: StreamKey,
        origin: StreamOrigin,
        lifetime: Duration,
    ) -> OriginGuard {
        let now = Instant::now();
        let lifetime = lifetime.min(MAX_LIFETIME);
        let exchange = &self.origins;
        exchange.table().insert(now, key, origin.clone(), lifetime);
        let stream = OpenOrigin {
            origin,
            expires: now + lifetime,
            relays: 1,
        };
        exchange.send(&self.view.load().entries, [(&key, &stream)].into_iter());
        let mut open = exchange.open();
        let relays = open.get(&key).map_or(0, |known| known.relays);
        let relays = relays + stream.relays;
        open.insert(key, OpenOrigin { relays, ..stream });
        drop(open);
        OriginGuard {
            node: Arc::clone(self),
            key,
        }
    }
}

/// Sends the origins of open streams to their homes again and again.
pub(in crate::gateway) async fn run_refresh(node: Weak<GatewayNode>) {
    loop {
        tokio::time::sleep(REFRESH_INTERVAL).await;
        let Some(node) = node.upgrade() else {
            return;
        };
        let open = node.origins.open().clone();
        let entries = Arc::clone(&node.view.load().entries);
        node.origins.send(&entries, open.iter());
    }
}
