use super::*;
use crate::gateway::{PoolProfile, PoolShare, RouteKind, StageRule, TableParts};

fn pool(name: &str) -> PoolProfile {
    PoolProfile {
        name: name.into(),
        pieces: Some(PieceProfile {
            slots: 1,
            queue: 2,
            batch: 10,
            call_time: Duration::from_millis(150),
            piece_time: Duration::from_millis(10),
            room_bytes: 1,
            result_life: Duration::from_secs(4),
        }),
        ..Default::default()
    }
}

pub(in crate::gateway) fn table() -> RouteTable {
    let stage = |after: &[usize]| StageRule {
        pool: "p".into(),
        after: after.to_vec(),
        result_bytes: 1,
    };
    let route = RouteRule {
        name: "r".into(),
        host: "h".into(),
        path_prefix: "/".into(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_secs(1),
        pause: None,
        rank: 0,
        shares: vec![PoolShare {
            pool: "p".into(),
            weight: 1,
        }],
        max_endpoints: 1,
        stages: vec![stage(&[]), stage(&[]), stage(&[1]), stage(&[2])],
        is_open: true,
    };
    let parts = TableParts {
        routes: vec![route],
        pools: vec![pool("p")],
        ..Default::default()
    };
    RouteTable::build(parts).unwrap()
}

#[test]
fn what_follows_a_stage_is_added_up_along_the_longest_chain() {
    let table = table();
    let route = table.routes().next().unwrap();
    let forecast = StageForecast::new(&table, route);
    let step = Duration::from_millis(350);
    assert_eq!(forecast.tail(3), ENGINE_TIME);
    assert_eq!(forecast.tail(2), ENGINE_TIME + step);
    assert_eq!(forecast.tail(1), ENGINE_TIME + step * 2);
    assert_eq!(forecast.tail(0), ENGINE_TIME);
}
