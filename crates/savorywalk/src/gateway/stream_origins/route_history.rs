use crate::gateway::RouteTable;
use crate::prelude::*;

/// Since when each route has been served by the same pools.
#[derive(Clone, Debug, Default)]
pub(in crate::gateway) struct RouteHistory {
    routes: FastMap<String, ServedRoute>,
}

#[derive(Clone, Debug)]
struct ServedRoute {
    pools: Vec<String>,
    since: Instant,
}

impl RouteHistory {
    /// The history with the routes of a newer document.
    pub(in crate::gateway) fn updated(&self, now: Instant, table: &RouteTable) -> Self {
        let routes = table.routes().map(|route| {
            let pools = route.shares.iter().map(|share| share.pool.clone());
            let pools: Vec<String> = pools.collect();
            let known = self.routes.get(&route.name);
            let since = known.filter(|known| known.pools == pools);
            let since = since.map_or(now, |known| known.since);
            (route.name.clone(), ServedRoute { pools, since })
        });
        Self {
            routes: routes.collect(),
        }
    }

    /// The pool of a route, and for how long no other one has served it.
    pub(in crate::gateway) fn only_pool(
        &self,
        now: Instant,
        route: &str,
    ) -> Option<(&str, Duration)> {
        let served = self.routes.get(route)?;
        let time = now.saturating_duration_since(served.since);
        match served.pools.as_slice() {
            [pool] => Some((pool, time)),
            _ => None,
        }
    }
}

#[cfg(test)]
#[path = "route_history_tests.rs"]
mod tests;
