use std::sync::{Mutex, MutexGuard, PoisonError, Weak};

use prost::Message;

use super::origin_table::MAX_LIFETIME;
use super::{OriginTable, StreamKey, StreamOrigin, origin_homes};
use crate::gateway::gateway_node::GatewayNode;
use crate::generated::work::work_notice::Notice;
use crate::generated::work::{OriginNotice, OriginRecord, WorkNotice};
use crate::prelude::*;
use crate::transport::{LinkChannel, LinkClass, LinkHub, PeerName};

/// Interval at which the origins of open streams are sent to their homes again, which may have
/// restarted, joined or missed them.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);

/// Records of one notice, so that it stays small beside calls.
const MAX_RECORDS: usize = 256;

/// Keeps the origins of streams, and exchanges them with other entries.
#[derive(Debug)]
pub(in crate::gateway) struct OriginExchange {
    pub(super) hub: LinkHub,
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
