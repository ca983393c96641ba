use super::*;
use crate::gateway::{PoolShare, RouteKind, StageRule};

fn route(name: &str, prefix: &str) -> RouteRule {
    RouteRule {
        name: name.into(),
        host: "desk.example".into(),
        path_prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(300),
        pause: None,
        rank: 1,
        shares: vec![share("apps", 1)],
        max_endpoints: 2,
        stages: Arc::default(),
        is_open: false,
        allowed_regions: Vec::new(),
    }
}

fn share(pool: &str, weight: u32) -> PoolShare {
    PoolShare {
        pool: pool.into(),
        weight,
    }
}

fn pool(name: &str) -> PoolProfile {
    PoolProfile {
        name: name.into(),
        ..Default::default()
    }
}

fn parts(routes: Vec<RouteRule>) -> TableParts {
    TableParts {
        number: 3,
        routes,
        pools: vec![pool("apps"), pool("encoders")],
        ..Default::default()
    }
}

fn build_error(routes: Vec<RouteRule>) -> TableError {
    RouteTable::build(parts(routes)).unwrap_err()
}

#[test]
fn the_longest_prefix_wins_in_any_order() {
    let routes = vec![route("wide", "/a/"), route("narrow", "/a/b/")];
    let table = RouteTable::build(parts(routes)).unwrap();
    let found = |path| table.find("desk.example", path).map(|route| &*route.name);
    assert_eq!(found("/a/b/c"), Some("narrow"));
    assert_eq!(found("/a/x"), Some("wide"));
    assert_eq!(found("/other"), None);
    assert!(table.find("desk.example:8080", "/a/x").is_some());
    assert!(table.find("other.example", "/a/x").is_none());
}

#[test]
fn an_invalid_document_is_rejected() {
    let mut unknown = route("r", "/a/");
    unknown.shares = vec![share("nobody", 1)];
    assert!(matches!(
        build_error(vec![unknown]),
        TableError::UnknownPool { .. }
    ));
    let mut weightless = route("r", "/a/");
    weightless.shares = vec![share("apps", 0)];
    assert_eq!(
        build_error(vec![weightless]),
        TableError::ZeroWeight("r".into())
    );
    let mut timeless = route("r", "/a/");
    timeless.timeout = Duration::ZERO;
    assert_eq!(
        build_error(vec![timeless]),
        TableError::ZeroTimeout("r".into())
    );
    let doubled = vec![route("r", "/a/"), route("s", "/a/")];
    assert_eq!(build_error(doubled), TableError::DuplicateRoute("s".into()));
}

#[test]
fn a_stage_may_only_depend_on_earlier_stages() {
    let mut circular = route("r", "/a/");
    let stage = StageRule {
        pool: "encoders".into(),
        after: vec![0],
        result_bytes: 1,
    };
    circular.stages = Arc::new([stage].into_iter().collect());
    assert!(matches!(
        build_error(vec![circular]),
        TableError::StageOrder { .. }
    ));
}

#[test]
fn a_key_belongs_to_one_workspace() {
    let workspace = |name: &str| WorkspaceRule {
        name: name.into(),
        keys: vec!["k".into()],
        rank: None,
        allowed_regions: Vec::new(),
        share: ShareRule::default(),
    };
    let mut parts = parts(vec![route("r", "/a/")]);
    parts.workspaces = Some(vec![workspace("one"), workspace("two")]);
    let error = RouteTable::build(parts).unwrap_err();
    assert!(matches!(error, TableError::DuplicateKey { .. }));
}

#[test]
fn tickets_are_distributed_by_weight() {
    let mut split = route("r", "/a/");
    split.shares = vec![share("apps", 9), share("encoders", 1)];
    let drawn = (0..100).filter(|ticket| split.pool_for(*ticket) == "encoders");
    assert_eq!(drawn.count(), 10);
}

#[test]
fn weights_and_floors_out_of_range_are_errors_with_a_remedy() {
    let build = |shares: &[(f64, f64)]| {
        let mut parts = parts(vec![route("r", "/a/")]);
        let workspaces = shares.iter().map(|(weight, floor)| WorkspaceRule {
            name: "w".into(),
            share: ShareRule {
                weight: *weight,
                floor: *floor,
            },
            ..WorkspaceRule::default()
        });
        parts.workspaces = Some(workspaces.collect());
        RouteTable::build(parts).map(drop)
    };
    for weight in [0.0, -1.0, 0.0009, 1_001.0, f64::NAN, f64::INFINITY] {
        let error = build(&[(weight, 0.0)]).unwrap_err();
        assert!(matches!(error, TableError::ShareWeight { .. }), "{error}");
        assert!(error.to_string().contains("give it one from 0.001 to 1000"));
    }
    for floor in [-0.1, f64::NAN, f64::INFINITY] {
        let error = build(&[(1.0, floor)]).unwrap_err();
        assert!(matches!(error, TableError::ShareFloor { .. }), "{error}");
    }
    let error = build(&[(1.0, 0.6), (1.0, 0.5)]).unwrap_err();
    assert!(matches!(error, TableError::FloorSum(_)), "{error}");
    assert_eq!(build(&[(0.5, 0.1); 10]), Ok(()));
}

/// Guards against a document without time limits, or with absurd ones, that closes every connection
/// at once or makes a time overflow.
#[test]
fn absurd_limits_of_a_document_leave_connections_usable() {
    let limits = RequestLimits {
        head_bytes: u64::MAX,
        body_bytes: 0,
        head_time: Duration::ZERO,
        idle_time: Duration::MAX,
    };
    let limits = limits.connection_limits();
    assert_eq!(limits.head_bytes, (1 << 20) + (4 << 10));
    assert_eq!(limits.head_time, Duration::from_secs(1));
    assert_eq!(limits.idle_time, Duration::from_secs(3_600));
    let usual = RequestLimits::default().connection_limits();
    assert_eq!(usual.head_time, Duration::from_secs(3));
    assert_eq!(usual.idle_time, Duration::from_secs(15));
}
