use super::*;

fn order(now: Instant, source: PieceSource) -> StageOrder {
    StageOrder {
        request_id: "r".into(),
        stage: 2,
        pool: "rerankers".into(),
        pieces: 3,
        rank: 1,
        due: now + Duration::from_millis(700),
        deadline: now + Duration::from_millis(9_000),
        source,
        result_bytes: 60_000,
        near: Some("east".into()),
        tail: Duration::from_millis(400),
    }
}

fn key() -> BoardKey {
    BoardKey {
        pool: "rerankers".into(),
        shard: Some("east".into()),
    }
}

#[test]
fn an_order_arrives_as_it_was_sent() {
    let now = Instant::now();
    let inputs: Arc<[ResultHandle]> = [ResultHandle("10.0.0.1:80/a".into())].into();
    for source in [PieceSource::Key("k".into()), PieceSource::Inputs(inputs)] {
        let sent = order(now, source.clone());
        let (arrived_key, arrived) = order_of(now, call_of(now, &key(), &sent));
        assert_eq!(arrived_key, key());
        assert_eq!(arrived.source, source);
        assert_eq!((arrived.due, arrived.deadline), (sent.due, sent.deadline));
        assert_eq!((arrived.near, arrived.tail), (sent.near, sent.tail));
    }
}

#[test]
fn an_order_that_is_overdue_stays_overdue() {
    let now = Instant::now();
    let mut sent = order(now, PieceSource::Key("k".into()));
    let later = sent.due + Duration::from_millis(300);
    sent.deadline = later;
    let (_, arrived) = order_of(later, call_of(later, &key(), &sent));
    assert_eq!(arrived.due, sent.due);
}

#[test]
fn entries_agree_on_who_gathers_and_pools_spread_over_them() {
    let entries: Vec<PeerName> = (1..=6)
        .map(|ip| PeerName::from_ip([10, 0, 0, ip].into()))
        .collect();
    let chosen: BTreeSet<&PeerName> = (0..40)
        .filter_map(|pool| {
            let key = BoardKey {
                pool: format!("pool-{pool}"),
                shard: None,
            };
            entries.iter().max_by_key(|entry| ranking(&key, entry))
        })
        .collect();
    assert!(chosen.len() >= 5, "{chosen:?}");
}
