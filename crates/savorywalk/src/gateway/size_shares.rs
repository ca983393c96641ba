use super::success_count::{SuccessCount, share};
use crate::prelude::*;

/// Number of recent sizes that are kept per route: enough for about twenty of the largest
/// tenth.
const MAX_SIZES: usize = 200;

/// Number of sizes of a route from which on its bands are known well enough.
const MIN_SIZES: usize = 20;

/// Bounds between bands of sizes, as the part of a route's requests that are smaller. The bands
/// are the largest tenth, the fifth below it, and the rest. Operators want each band served at
/// least half as often as the route.
const BAND_STARTS: [f64; 2] = [0.7, 0.9];

/// Smallest share of a band, relative to that of its route. Operators ask for 0.5. A caller
/// tries twice, and only begun requests count here, so there is a margin for those that are cut
/// off later: with 0.75, the largest tenth was served 0.79 to 0.84 times as often as its route
/// on three days of bursts.
const MIN_RELATIVE_SHARE: f64 = 0.75;

/// Share of the requests of each size that begin, by route.
#[derive(Debug, Default)]
pub(super) struct SizeShares {
    routes: FastMap<Arc<str>, RouteSizes>,
}

#[derive(Debug, Default)]
struct RouteSizes {
    sizes: VecDeque<u64>,
    bands: [SuccessCount; BAND_STARTS.len() + 1],
}

impl SizeShares {
    /// Records the size of an arriving request.
    pub(super) fn record_size(&mut self, route: &Arc<str>, size: u64) {
        let sizes = &mut self.routes.entry(Arc::clone(route)).or_default().sizes;
        if sizes.len() == MAX_SIZES {
            sizes.pop_front();
        }
        sizes.push_back(size);
    }

    /// Records whether a request began.
    pub(super) fn record_outcome(&mut self, now: Instant, route: &str, size: u64, is_begun: bool) {
        let Some(sizes) = self.routes.get_mut(route) else {
            return;
        };
        let band = sizes.band(size);
        sizes.bands[band].add(now, is_begun);
    }

    /// Whether requests of this size begin much less often than others of their route, so that
    /// they are to be preferred.
    pub(super) fn is_underserved(&self, now: Instant, route: &str, size: u64) -> bool {
        let Some(sizes) = self.routes.get(route) else {
            return false;
        };
        let is_known = sizes.sizes.len() >= MIN_SIZES;
        let own = &sizes.bands[sizes.band(size)];
        is_known && share(now, [own]) < MIN_RELATIVE_SHARE * share(now, &sizes.bands)
    }
}

impl RouteSizes {
    /// Returns the band of a size among the recent sizes of the route.
    fn band(&self, size: u64) -> usize {
        let smaller = self.sizes.iter().filter(|known| **known < size).count();
        let part = smaller as f64 / self.sizes.len().max(1) as f64;
        BAND_STARTS.iter().filter(|start| part >= **start).count()
    }
}

#[cfg(test)]
#[path = "size_shares_tests.rs"]
mod tests;
