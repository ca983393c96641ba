use super::success_count::{SuccessCount, share};
use crate::prelude::*;

/// Number of requests of a route from which on its share is known well enough.
const MIN_OFFERED: f64 = 20.0;

/// Smallest share of a route's requests that begin in time, relative to the share of all
/// requests. Ranks order the routes without excluding any: operators want each route served at
/// least a quarter as often as all, and callers leave a route whose answers are all late. The
/// bound is half, as for sizes.
const MIN_RELATIVE_SHARE: f64 = 0.5;

/// Share of the requests of each route that begin in time.
#[derive(Debug, Default)]
pub(super) struct RouteShares {
    routes: FastMap<Arc<str>, SuccessCount>,
}

impl RouteShares {
    /// Records whether a request began in time.
    pub(super) fn record_outcome(&mut self, now: Instant, route: &Arc<str>, is_timely: bool) {
        let count = self.routes.entry(Arc::clone(route)).or_default();
        count.add(now, is_timely);
    }

    /// Whether requests of a route begin in time much less often than all, so that the route is
    /// to be preferred.
    pub(super) fn is_underserved(&self, now: Instant, route: &str) -> bool {
        let Some(count) = self.routes.get(route) else {
            return false;
        };
        let is_known = count.offered(now) >= MIN_OFFERED;
        is_known && share(now, [count]) < MIN_RELATIVE_SHARE * share(now, self.routes.values())
    }
}

#[cfg(test)]
#[path = "route_shares_tests.rs"]
mod tests;
