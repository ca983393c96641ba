use std::cmp::Reverse;

use crate::prelude::*;
use crate::registry::EntryCapacity;
use crate::transport::PeerName;

/// Power of the capacity by which shards are distributed. Requests of callers are spread evenly,
/// so each entry spends the same processor time on its own ones, and only the rest is left for
/// coordination. Where that takes four fifths of what the smallest have, the rest grows by the
/// fifth power of the capacity there. A shard can't be divided, and takes about as much as the
/// smallest have in all, so that these should coordinate none while there are larger ones.
const WEIGHT_POWER: i32 = 5;

/// Weights by which entries are ranked as coordinators.
///
/// Entries are weighted only if all have reported their capacity and these differ. Otherwise they
/// are ranked by the plain hash, as entries of earlier versions do: if one of those is among
/// them, all must choose as it does, since two coordinators of a shard would issue twice its
/// permits.
#[derive(Clone, Debug, Default)]
pub(in crate::gateway) struct CapacityWeights {
    /// The capacities that these weights were built from.
    reported: Arc<[EntryCapacity]>,
    /// Weights by entry; empty if entries are not weighted.
    weights: FastMap<PeerName, f64>,
}

/// Rank of an entry as coordinator of a shard; the highest is the coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::gateway) struct EntryRank {
    /// Bits of the entry's arrival time, which are in the order of the times as these are not
    /// negative; 0 if entries are not weighted.
    arrival: Reverse<u64>,
    hash: u64,
}

impl CapacityWeights {
    /// Builds the weights of entries from their capacities, which are in the same order.
    pub(in crate::gateway) fn new(entries: &[PeerName], reported: &Arc<[EntryCapacity]>) -> Self {
        let is_reported =
            reported.len() == entries.len() && reported.iter().all(|own| own.is_known());
        let is_even = reported.iter().min() == reported.iter().max();
        let weighted = entries.iter().zip(reported.iter());
        let weighted = weighted.filter(|_| is_reported && !is_even);
        Self {
            reported: Arc::clone(reported),
            weights: weighted
                .map(|(entry, capacity)| (entry.clone(), weight(*capacity)))
                .collect(),
        }
    }

    /// Whether these weights were built from the same list of capacities.
    pub(in crate::gateway) fn is_built_from(&self, reported: &Arc<[EntryCapacity]>) -> bool {
        Arc::ptr_eq(&self.reported, reported)
    }

    /// Whether entries are weighted.
    pub(in crate::gateway) fn is_weighted(&self) -> bool {
        !self.weights.is_empty()
    }

    /// Returns the rank of an entry whose name and shard have this hash. Each entry is the
    /// highest of a shard with a probability equal to its part of all weights (weighted
    /// rendezvous hashing).
    pub(in crate::gateway) fn rank(&self, entry: &PeerName, hash: u64) -> EntryRank {
        let weight = self.weights.get(entry);
        let arrival = weight.map_or(0.0, |weight| arrival_time(hash, *weight));
        EntryRank {
            arrival: Reverse(arrival.to_bits()),
            hash,
        }
    }
}

fn weight(capacity: EntryCapacity) -> f64 {
    f64::from(capacity.0).powi(WEIGHT_POWER)
}

/// Returns the time of the first arrival at an entry to which shards arrive at the rate
/// `weight`; never negative.
fn arrival_time(hash: u64, weight: f64) -> f64 {
    let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    uniform.ln().abs() / weight
}

#[cfg(test)]
#[path = "capacity_weights_tests.rs"]
mod tests;
