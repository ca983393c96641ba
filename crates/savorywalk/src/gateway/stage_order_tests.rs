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
        let (arrived_key, arrived) = StageOrder::from_call(now, sent.to_call(now, &key()));
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
    let (_, arrived) = StageOrder::from_call(later, sent.to_call(later, &key()));
    assert_eq!(arrived.due, sent.due);
}
