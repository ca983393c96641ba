use super::entry_capacity::{CapacityWeights, EntryRank};
use super::gateway_view::GatewayView;
use super::{DataCenterFilter, PoolMember};
use crate::hashing::stable_hash;
use crate::prelude::*;
use crate::transport::PeerName;

/// Largest engine pool in which every entry places prompts itself. With so few engines, each
/// one serves many shared prompt parts, and sending a prompt to another engine costs more than
/// waiting. In larger pools a coordinator places the prompts, because it sees the load of all
/// entries.
const MAX_UNSPLIT_ENGINES: usize = 24;

/// Largest stage pool whose work one entry coordinates as a whole. Larger pools are split by
/// data centre: the pieces of 48 endpoints take more than the eighth of a core that an entry
/// has.
const MAX_UNSPLIT_MEMBERS: usize = 6;

/// Kind of work that one entry coordinates for all entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum WorkKind {
    /// Executing the stages of requests.
    Stages,
    /// Placing prompts at engines.
    Prompts,
    /// Granting retries from the budgets of pools.
    Retries,
}

impl WorkKind {
    /// Returns the kind of work whose coordinators issue the permits for the endpoints of a
    /// pool.
    pub(super) fn for_permits(view: &GatewayView, pool: &str) -> Self {
        let profile = view.table.as_ref().and_then(|table| table.pool(pool));
        match profile.is_some_and(|profile| profile.pieces.is_some()) {
            true => Self::Stages,
            false => Self::Prompts,
        }
    }

    /// Name in logs, and in the hash that ranks entries.
    pub(super) const fn label(self) -> &'static str {
        match self {
            Self::Stages => "stages",
            Self::Prompts => "prompts",
            Self::Retries => "retries",
        }
    }
}

/// Approximate number of endpoints that a shard has in its largest pool. It is the same for all
/// fleets, so that choosing an endpoint takes equally long.
const SHARD_MEMBERS: usize = 64;

/// Fewest endpoints of each pool in a part of a data centre.
const MIN_PART_MEMBERS: usize = 12;

/// Separates the fields of a shard's name; names of data centres in shards do not contain it.
const SEPARATOR: char = ':';

/// The endpoints that one entry coordinates: all of them, those in one data centre, or a
/// part of those.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct WorkShard {
    /// Name in calls to other entries; empty for the whole.
    name: Arc<str>,
    data_center: Arc<str>,
    /// The part of the data centre, if it is split.
    part: Option<ShardPart>,
}

/// One of several parts of a data centre's endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct ShardPart {
    index: u64,
    count: u64,
}

impl WorkShard {
    /// Returns the shard with a name; the whole for an empty one. If the part cannot be parsed,
    /// this is the whole data centre.
    pub(super) fn from_name(name: &str) -> Self {
        let mut words = name.split(SEPARATOR);
        let data_center = words.next().unwrap_or_default();
        let numbers: Vec<u64> = words.map_while(|word| word.parse().ok()).collect();
        let part = match numbers.as_slice() {
            [index, count] if index < count => Some(ShardPart {
                index: *index,
                count: *count,
            }),
            _ => None,
        };
        Self {
            name: name.into(),
            data_center: data_center.into(),
            part,
        }
    }

    /// Splits a data centre into `count` shards.
    fn parts(data_center: &str, count: usize) -> Vec<Self> {
        if count <= 1 {
            return vec![Self::from_name(data_center)];
        }
        let name = |index| format!("{data_center}{SEPARATOR}{index}{SEPARATOR}{count}");
        (0..count)
            .map(|index| Self::from_name(&name(index)))
            .collect()
    }

    /// Returns the name; empty for the whole.
    pub(super) fn name(&self) -> &str {
        &self.name
    }

    /// Returns the data centre of the endpoints; empty for the whole.
    pub(super) fn data_center(&self) -> &str {
        &self.data_center
    }

    /// Whether the shard has the endpoints of all data centres.
    pub(super) fn is_whole(&self) -> bool {
        self.name.is_empty()
    }

    /// Whether an endpoint belongs to the shard.
    pub(super) fn has(&self, member: &PoolMember) -> bool {
        let is_own_part = |part: ShardPart| member.shard_hash % part.count == part.index;
        self.is_whole()
            || (*self.data_center == *member.data_center() && self.part.is_none_or(is_own_part))
    }

    /// Returns the usable entry that coordinates a kind of work for the shard: the one with the
    /// highest rank, so that all entries choose the same one (rendezvous hashing).
    pub(super) fn coordinator<'a>(
        &self,
        kind: WorkKind,
        weights: &CapacityWeights,
        usable: impl Iterator<Item = &'a PeerName>,
    ) -> Option<&'a PeerName> {
        usable.max_by_key(|entry| self.rank(kind, weights, entry))
    }

    fn rank(&self, kind: WorkKind, weights: &CapacityWeights, entry: &PeerName) -> EntryRank {
        let words = [kind.label(), self.name(), entry.as_str()];
        weights.rank(entry, stable_hash(&words.map(str::as_bytes)))
    }

    /// Returns the first `count` entries by rank, beginning with the coordinator.
    pub(super) fn first_ranked(
        &self,
        kind: WorkKind,
        weights: &CapacityWeights,
        entries: &[PeerName],
        count: usize,
    ) -> Vec<PeerName> {
        let mut first: Vec<(EntryRank, &PeerName)> = Vec::with_capacity(count + 1);
        for entry in entries {
            let rank = self.rank(kind, weights, entry);
            // Among equal ranks the later entry goes first, as in `coordinator`.
            let index = first.partition_point(|(known, _)| *known > rank);
            if index < count {
                first.insert(index, (rank, entry));
                first.truncate(count);
            }
        }
        first.into_iter().map(|(_, entry)| entry.clone()).collect()
    }

    /// Returns the coordinator, and the entry to ask when the coordinator cannot be reached.
    pub(super) fn coordinator_and_fallback(
        &self,
        kind: WorkKind,
        view: &GatewayView,
    ) -> [Option<PeerName>; 2] {
        let ranked = view.ranked(kind, self);
        [0, 1].map(|index| ranked.get(index).cloned())
    }

    /// Returns the kind of work and the shard whose coordinator issues all permits for an
    /// endpoint of a pool.
    pub(super) fn for_permits(
        view: &GatewayView,
        pool: &str,
        member: &PoolMember,
    ) -> (WorkKind, Self) {
        let kind = WorkKind::for_permits(view, pool);
        let map = view.shard_map(kind, pool);
        let mut shards = map.shards();
        let own = shards.find(|shard| shard.has(member));
        (kind, own.cloned().unwrap_or_default())
    }
}

/// Shards of a deployment, each weighted by the part of the work that it can carry.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct ShardMap {
    shards: Vec<(WorkShard, f64)>,
}

impl ShardMap {
    /// Returns the shards for the stage pools, by their current endpoints.
    pub(super) fn for_stages(view: &GatewayView) -> Self {
        let table = view.table.as_ref();
        let pools = table.into_iter().flat_map(|table| table.pools());
        let pools = pools.filter(|pool| pool.pieces.is_some());
        let counts: Vec<BTreeMap<&str, usize>> = pools
            .map(|pool| count_by_data_center(view, &pool.name))
            .collect();
        Self::split(&counts, MAX_UNSPLIT_MEMBERS)
    }

    /// Returns the shards for an engine pool, by its current endpoints.
    pub(super) fn for_engines(view: &GatewayView, pool: &str) -> Self {
        Self::split(&[count_by_data_center(view, pool)], MAX_UNSPLIT_ENGINES)
    }

    /// Splits pools into shards if one pool has more than `max_members` members. `counts` has
    /// the number of members in each data centre, for each pool.
    fn split(counts: &[BTreeMap<&str, usize>], max_members: usize) -> Self {
        let whole = Self {
            shards: vec![(WorkShard::default(), 1.0)],
        };
        let sizes = counts.iter().map(|count| count.values().sum());
        if sizes.max().unwrap_or(0) <= max_members {
            return whole;
        }
        let used = counts.iter().filter(|count| !count.is_empty());
        let data_centers: BTreeSet<&str> = used
            .clone()
            .flat_map(|count| count.keys().copied())
            // Announcements may contain any data centre name; no shard can have one with a
            // separator.
            .filter(|name| !name.contains(SEPARATOR))
            .collect();
        let shards = data_centers.into_iter().flat_map(|data_center| {
            let own = |count: &BTreeMap<&str, usize>| count.get(data_center).copied().unwrap_or(0);
            let shares = used
                .clone()
                .map(|count| own(count) as f64 / count.values().sum::<usize>().max(1) as f64);
            let weight = shares.fold(1.0, f64::min);
            let sizes = used.clone().map(own);
            let parts = match weight > 0.0 {
                true => WorkShard::parts(data_center, count_parts(sizes)),
                false => Vec::new(),
            };
            let weight = weight / parts.len().max(1) as f64;
            parts.into_iter().map(move |part| (part, weight))
        });
        let shards: Vec<(WorkShard, f64)> = shards.collect();
        match shards.len() {
            0 | 1 => whole,
            _ => Self { shards },
        }
    }

    /// Whether the map contains a shard.
    pub(super) fn has(&self, shard: &WorkShard) -> bool {
        self.shards().any(|own| own == shard)
    }

    /// Returns all shards of the map.
    pub(super) fn shards(&self) -> impl Iterator<Item = &WorkShard> {
        self.shards.iter().map(|(shard, _)| shard)
    }

    /// Keeps only the shards in allowed data centres; the whole is always kept.
    pub(super) fn retain_allowed(mut self, data_center_filter: &DataCenterFilter) -> Self {
        self.shards
            .retain(|(shard, _)| shard.is_whole() || data_center_filter.has(shard.data_center()));
        self
    }

    /// Returns a shard of a data centre, if there is one; `ticket` selects one of its parts.
    pub(super) fn in_data_center(&self, data_center: &str, ticket: u64) -> Option<&WorkShard> {
        let is_near = |shard: &&WorkShard| shard.is_whole() || shard.data_center() == data_center;
        let count = self.shards().filter(is_near).count() as u64;
        let index = ticket.checked_rem(count)?;
        self.shards().filter(is_near).nth(index as usize)
    }

    /// Returns a shard other than `excluded`, chosen by `ticket` with a probability
    /// proportional to its weight; `None` when there is no other.
    ///
    /// Each shard has an arrival time for the ticket, and the earliest one is chosen. If the
    /// weight of a shard changes, only as many tickets move as it gains or loses (weighted
    /// rendezvous hashing).
    pub(super) fn select(&self, ticket: u64, excluded: Option<&WorkShard>) -> Option<&WorkShard> {
        let others = self
            .shards
            .iter()
            .filter(|(shard, _)| Some(shard) != excluded);
        let ranked = others.map(|(shard, weight)| (shard, arrival_time(ticket, shard, *weight)));
        let first = ranked.min_by(|(_, left), (_, right)| left.total_cmp(right));
        first.map(|(shard, _)| shard)
    }
}

/// Returns the time of the first arrival at a shard that receives requests at the rate
/// `weight`. Each of several shards is the first with a probability equal to its part of all
/// rates.
fn arrival_time(ticket: u64, shard: &WorkShard, weight: f64) -> f64 {
    let hash = stable_hash(&[&ticket.to_le_bytes(), shard.name().as_bytes()]);
    let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -uniform.ln() / weight.max(f64::MIN_POSITIVE)
}

/// Returns the number of parts of a data centre in which pools have `sizes` endpoints. It is a
/// power of two, so that it seldom changes.
fn count_parts(sizes: impl Iterator<Item = usize> + Clone) -> usize {
    let largest = sizes.clone().max().unwrap_or(0) / SHARD_MEMBERS;
    let smallest = sizes.min().unwrap_or(0) / MIN_PART_MEMBERS;
    let parts = largest.min(smallest).max(1);
    1 << parts.ilog2()
}

/// Counts the members of a pool from which control has recent reports, by data centre.
fn count_by_data_center<'a>(view: &'a GatewayView, pool: &str) -> BTreeMap<&'a str, usize> {
    let counts = view.roster.counts(pool);
    counts.collect()
}

#[cfg(test)]
#[path = "work_shard_tests.rs"]
mod tests;
