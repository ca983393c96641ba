use std::sync::{Mutex, PoisonError};

use super::entry_capacity::{CapacityWeights, ShardSet};
use super::stream_origins::RouteHistory;
use super::work_shard::{ShardMap, WorkKind, WorkShard};
use super::{EndpointRoster, RouteTable};
use crate::hashing::stable_hash;
use crate::prelude::*;
use crate::registry::Confirmation;
use crate::transport::PeerName;

/// An immutable view of the state in force at this entry, for the request path.
#[derive(Clone, Debug, Default)]
pub(super) struct GatewayView {
    /// The document in force; `None` before the first.
    pub(super) table: Option<Arc<RouteTable>>,
    /// Since when each route has had its pools.
    pub(super) route_history: Arc<RouteHistory>,
    /// Endpoints that may be given new work.
    pub(super) roster: Arc<EndpointRoster>,
    /// Revision of the evacuations applied to the roster.
    pub(super) evacuations: u64,
    /// Entries that share budgets and pools, including this one.
    pub(super) entries: Arc<[PeerName]>,
    /// Weights of `entries` by their capacities, for ranking them as coordinators.
    pub(super) weights: Arc<CapacityWeights>,
    /// Coordinator ranks of `entries`, shared with later views of the same entries and weights.
    pub(super) ranks: Arc<CoordinatorRanks>,
    /// Shard maps of the pools, computed on first use.
    pub(super) maps: Arc<ShardMaps>,
    /// Digest of the names of all shards.
    pub(super) shard_digest: u64,
    /// When the shard digest last changed.
    pub(super) sharded_since: Option<Instant>,
    /// Number of changes from control that this view includes.
    pub(super) change_count: u64,
}

/// A view with the time since its last confirmation.
#[derive(Clone, Debug)]
pub(super) struct AgedView {
    pub(super) view: Arc<GatewayView>,
    /// Time since a majority confirmed that nothing newer was committed. `None` without a
    /// confirmation, or when the confirmation covers only a newer document.
    pub(super) age: Option<Duration>,
}

/// Top-ranked entries kept for each shard. More than are avoided at the same time; if all of
/// these are avoided, all entries are searched.
const MAX_RANKED_ENTRIES: usize = 8;

/// Cache of the top-ranked entries of each shard, as ranking hashes the names of all entries.
#[derive(Debug, Default)]
pub(super) struct CoordinatorRanks {
    ranked: Mutex<RankedEntries>,
}

/// Shard maps by pool. All stage pools share one map, under the empty name.
#[derive(Debug, Default)]
pub(super) struct ShardMaps {
    maps: Mutex<FastMap<String, Arc<ShardMap>>>,
}

type RankedEntries = FastMap<(WorkKind, WorkShard), Arc<[PeerName]>>;

impl GatewayView {
    /// Returns the shards of a kind of work for a pool.
    pub(super) fn shard_map(&self, kind: WorkKind, pool: &str) -> Arc<ShardMap> {
        let key = match kind {
            WorkKind::Stages => "",
            WorkKind::Prompts | WorkKind::Retries => pool,
        };
        let mut maps = self
            .maps
            .maps
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(map) = maps.get(key) {
            return Arc::clone(map);
        }
        let map = Arc::new(match kind {
            WorkKind::Stages => ShardMap::for_stages(self),
            WorkKind::Prompts => ShardMap::for_engines(self, pool),
            WorkKind::Retries => ShardMap::default(),
        });
        maps.insert(key.to_string(), Arc::clone(&map));
        map
    }

    /// Returns the shards that an entry coordinates.
    pub(super) fn shards_of(&self, entry: &PeerName) -> ShardSet {
        let pools = self.table.iter().flat_map(|table| table.pools());
        let engines = pools.filter(|pool| pool.engine.is_some());
        let engines = engines.map(|pool| (WorkKind::Prompts, pool.name.as_str()));
        let mut own = ShardSet::new();
        for (kind, pool) in engines.chain([(WorkKind::Stages, "")]) {
            let map = self.shard_map(kind, pool);
            let is_own = |shard: &&WorkShard| self.ranked(kind, shard).first() == Some(entry);
            let shards = map.shards().filter(is_own);
            own.extend(shards.map(|shard| (kind, shard.clone())));
        }
        own
    }

    /// Sets the shard digest, and the time of its last change.
    pub(super) fn with_shard_digest(mut self, now: Instant, before: &Self) -> Self {
        let pools = self.table.iter().flat_map(|table| table.pools());
        let engines = pools.filter(|pool| pool.engine.is_some());
        let engines = engines.map(|pool| self.shard_map(WorkKind::Prompts, &pool.name));
        let stages = self.shard_map(WorkKind::Stages, "");
        let maps: Vec<Arc<ShardMap>> = engines.chain([stages]).collect();
        let names = maps
            .iter()
            .flat_map(|map| map.shards())
            .map(WorkShard::name);
        let names: Vec<&[u8]> = names.map(str::as_bytes).collect();
        self.shard_digest = stable_hash(&names);
        if self.shard_digest == before.shard_digest {
            self.sharded_since = before.sharded_since;
            return self;
        }
        log_event!(
            info,
            "shards_changed",
            shards = names.len(),
            entries = self.entries.len(),
            document = self.document()
        );
        self.sharded_since = Some(now);
        self
    }

    /// Returns the top-ranked entries of a shard, the coordinator first.
    pub(super) fn ranked(&self, kind: WorkKind, shard: &WorkShard) -> Arc<[PeerName]> {
        let mut ranked = self
            .ranks
            .ranked
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let cached = ranked.entry((kind, shard.clone()));
        Arc::clone(cached.or_insert_with(|| {
            let first = shard.first_ranked(kind, &self.weights, &self.entries, MAX_RANKED_ENTRIES);
            first.into()
        }))
    }

    /// Number of the document in force; 0 before the first.
    pub(super) fn document(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.number())
    }
}

impl AgedView {
    /// Pairs a view with a confirmation of the given age. A confirmation only applies to views
    /// with the document it was given for, or a newer one. Otherwise a newer document that is
    /// unreadable, or not yet in force, would make the previous one look fresh.
    pub(super) fn new(view: Arc<GatewayView>, confirmed: Option<(Confirmation, Duration)>) -> Self {
        let covers = |(confirmation, _): &(Confirmation, Duration)| {
            view.document() >= confirmation.document_number
        };
        let age = confirmed.filter(covers).map(|(_, age)| age);
        Self { view, age }
    }

    /// Whether the view was confirmed less than `max_age` ago.
    pub(super) fn is_fresh(&self, max_age: Duration) -> bool {
        self.age.is_some_and(|age| age < max_age)
    }
}
