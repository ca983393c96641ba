//! Coordinators are chosen by what entries have, so that the smallest entry does not coordinate
//! the largest shard. See docs/design/entry-capacity.md.

mod capacity_meter;
mod capacity_weights;
mod own_shards;

pub(super) use capacity_meter::{CapacityMeter, METER_INTERVAL};
pub(super) use capacity_weights::{CapacityWeights, EntryRank};
pub(super) use own_shards::{OwnShards, ShardSet};
