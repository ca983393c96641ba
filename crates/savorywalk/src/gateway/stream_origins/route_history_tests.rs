use super::*;
use crate::gateway::{PoolProfile, PoolShare, RouteKind, RouteRule, StageGraph, TableParts};

const TIME: Duration = Duration::from_secs(30);

fn pool(name: &str) -> PoolProfile {
    PoolProfile {
        name: name.into(),
        ..PoolProfile::default()
    }
}

fn table(pools: &[&str]) -> RouteTable {
    let shares = pools.iter().map(|pool| PoolShare {
        pool: pool.to_string(),
        weight: 1,
    });
    let route = RouteRule {
        name: "r".into(),
        host: "h".into(),
        path_prefix: "/".into(),
        kind: RouteKind::Stream { resumable: true },
        timeout: Duration::from_secs(15),
        objective: Duration::from_secs(1),
        pause: None,
        rank: 0,
        shares: shares.collect(),
        max_endpoints: 2,
        stages: Arc::new(StageGraph::default()),
        is_open: true,
        allowed_regions: Vec::new(),
    };
    RouteTable::build(TableParts {
        routes: vec![route],
        pools: ["a", "b"].map(pool).into(),
        ..TableParts::default()
    })
    .unwrap()
}

/// A stream may have begun at the pool from which its route was moved a moment ago.
#[test]
fn a_pool_is_the_only_one_from_the_moment_when_the_route_was_moved() {
    let start = Instant::now();
    let history = RouteHistory::default().updated(start, &table(&["a"]));
    let later = start + TIME;
    let history = history.updated(later, &table(&["a"]));
    assert_eq!(history.only_pool(later, "r"), Some(("a", TIME)));
    let history = history.updated(later, &table(&["b"]));
    assert_eq!(history.only_pool(later, "r"), Some(("b", Duration::ZERO)));
}

#[test]
fn a_split_route_has_no_only_pool() {
    let start = Instant::now();
    let history = RouteHistory::default().updated(start, &table(&["a", "b"]));
    assert_eq!(history.only_pool(start + TIME, "r"), None);
}
