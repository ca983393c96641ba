use super::endpoint_detail::{age_of, age_units};
use super::{EndpointRecord, LoadBucket};
use crate::generated::directory::PoolTotal;
use crate::prelude::*;

/// Totals that differ by less are the same ones on another way; far below the
/// interval at which they are made.
const SAME_TOTAL: Duration = Duration::from_millis(1_500);

/// Most pairs of region and pool; the target has 7 regions and some 20 pools.
const MAX_TOTALS: usize = 1_024;

/// What one region says of its endpoints of one pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegionTotal {
    /// Endpoints that take work.
    pub endpoints: u32,
    /// Requests that they work on at once.
    pub slots: u32,
    /// Requests that they work on.
    pub running: u32,
    /// Requests that wait at them.
    pub queued: u32,
    /// When this was so, by this process's clock.
    pub load_at: Instant,
}

/// Totals of pools in other regions; the freshest of each pair counts.
#[derive(Clone, Debug, Default)]
pub struct PoolTotals {
    regions: BTreeMap<Arc<str>, BTreeMap<Arc<str>, RegionTotal>>,
    count: usize,
}

impl PoolTotals {
    /// Totals of a pool by region.
    pub fn pool<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = (&'a str, &'a RegionTotal)> {
        let regions = self.regions.iter();
        regions.filter_map(move |(region, pools)| Some((&**region, pools.get(pool)?)))
    }

    /// Takes a total that is fresher than the known one. Tells whether it did.
    pub(super) fn merge(&mut self, now: Instant, total: &PoolTotal, excess: Duration) -> bool {
        let age = age_of(total.age).saturating_add(excess);
        let Some(load_at) = now.checked_sub(age) else {
            return false;
        };
        let known = self.get(&total.region, &total.pool);
        if known.is_some_and(|known| load_at < known.load_at + SAME_TOTAL) {
            return false;
        }
        if known.is_none() {
            if self.count >= MAX_TOTALS {
                return false;
            }
            self.count += 1;
        }
        let pools = self.regions.entry(total.region.as_str().into());
        let taken = RegionTotal {
            endpoints: total.endpoints,
            slots: total.slots,
            running: total.running,
            queued: total.queued,
            load_at,
        };
        pools.or_default().insert(total.pool.as_str().into(), taken);
        true
    }

    /// Forgets totals older than `lifetime`.
    pub(super) fn expire(&mut self, now: Instant, lifetime: Duration) {
        for pools in self.regions.values_mut() {
            pools.retain(|_, total| now < total.load_at + lifetime);
        }
        self.regions.retain(|_, pools| !pools.is_empty());
        self.count = self.regions.values().map(BTreeMap::len).sum();
    }

    pub(super) fn message(&self, now: Instant, region: &str, pool: &str) -> Option<PoolTotal> {
        let total = self.get(region, pool)?;
        Some(PoolTotal {
            region: region.to_string(),
            pool: pool.to_string(),
            endpoints: total.endpoints,
            slots: total.slots,
            running: total.running,
            queued: total.queued,
            age: age_units(now.saturating_duration_since(total.load_at)),
        })
    }

    pub(super) fn pairs(&self) -> impl Iterator<Item = (&Arc<str>, &Arc<str>)> {
        let regions = self.regions.iter();
        regions.flat_map(|(region, pools)| pools.keys().map(move |pool| (region, pool)))
    }

    fn get(&self, region: &str, pool: &str) -> Option<&RegionTotal> {
        self.regions.get(region)?.get(pool)
    }
}

/// Totals of this region, made from its endpoints in detail.
pub(super) fn own_totals<'a>(
    now: Instant,
    region: &str,
    records: impl Iterator<Item = &'a Arc<EndpointRecord>>,
) -> Vec<PoolTotal> {
    let mut totals: BTreeMap<&str, PoolTotal> = BTreeMap::new();
    for record in records.filter(|record| record.takes_work(now)) {
        let announcement = &record.announcement;
        let load = LoadBucket::of(announcement.load).load();
        let total = totals
            .entry(&announcement.pool)
            .or_insert_with(|| PoolTotal {
                region: region.to_string(),
                pool: announcement.pool.clone(),
                ..PoolTotal::default()
            });
        total.endpoints += 1;
        total.slots = total.slots.saturating_add(announcement.slots);
        total.running = total.running.saturating_add(load.running);
        total.queued = total.queued.saturating_add(load.queued);
    }
    totals.into_values().collect()
}
