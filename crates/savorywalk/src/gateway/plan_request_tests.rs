use super::*;
use crate::gateway::StageRule;

fn request(now: Instant) -> PlanRequest {
    let stage = |after: &[usize], bytes| StageRule {
        pool: "pool".into(),
        after: after.to_vec(),
        result_bytes: bytes,
    };
    let rules = [stage(&[], 3_000_000), stage(&[], 8_000), stage(&[1], 6_000)];
    PlanRequest {
        request_id: "r".into(),
        digest: RequestDigest::from_bytes(&[7; 16]),
        graph: Arc::new(rules.into_iter().collect()),
        pieces: [2, 1, 16].into(),
        key: "k".into(),
        route: "briefs".into(),
        workspace: "north".into(),
        rank: 18,
        turn_rank: 16,
        size: 18_000,
        due: now + Duration::from_millis(700),
        deadline: now + Duration::from_millis(9_000),
        tail: Duration::from_millis(400),
        near: "east".into(),
        data_center_filter: DataCenterFilter::only(BTreeSet::from(["east".to_string()])),
        returning: true,
        timely_only: false,
        no_reservation: true,
        is_rerun: true,
        needs_retries: true,
    }
}

#[test]
fn a_plan_request_is_decoded_as_it_was_encoded() {
    let now = Instant::now();
    let sent = request(now);
    let shard = WorkShard::from_name("west");
    let (arrived_shard, arrived) = PlanRequest::from_call(now, sent.to_call(now, &shard)).unwrap();
    assert_eq!(arrived_shard, shard);
    assert_eq!(arrived.graph, sent.graph);
    assert_eq!(arrived.pieces, sent.pieces);
    assert_eq!(arrived.workspace, sent.workspace);
    assert!(arrived.no_reservation && arrived.is_rerun && arrived.needs_retries);
    assert_eq!(arrived.rank, sent.rank);
    assert_eq!(arrived.turn_rank, sent.turn_rank);
    assert_eq!(arrived.key, sent.key);
    assert_eq!(arrived.digest, sent.digest);
    assert_eq!((&arrived.route, arrived.size), (&sent.route, sent.size));
    assert_eq!((arrived.due, arrived.deadline), (sent.due, sent.deadline));
    assert_eq!((&arrived.near, arrived.tail), (&sent.near, sent.tail));
    assert!(arrived.returning && !arrived.timely_only);
}

#[test]
fn an_overdue_plan_request_stays_overdue() {
    let now = Instant::now();
    let mut sent = request(now);
    let later = sent.due + Duration::from_millis(300);
    sent.deadline = later;
    let call = sent.to_call(later, &WorkShard::default());
    let (_, arrived) = PlanRequest::from_call(later, call).unwrap();
    assert_eq!(arrived.due, sent.due);
}

#[test]
fn a_plan_request_with_cyclic_stages_is_rejected() {
    let now = Instant::now();
    let mut call = request(now).to_call(now, &WorkShard::default());
    call.stages[0].after = vec![2];
    assert!(PlanRequest::from_call(now, call).is_none());
}

#[test]
fn a_request_needs_the_results_that_no_stage_depends_on() {
    let request = request(Instant::now());
    assert_eq!(request.final_result_count(), 18);
    assert!(request.has_large_results());
}

/// An entry of the previous version sends no turn rank.
#[test]
fn without_a_turn_rank_the_rank_applies() {
    let now = Instant::now();
    let sent = request(now);
    let mut call = sent.to_call(now, &WorkShard::from_name("west"));
    call.turn_rank = None;
    let (_, arrived) = PlanRequest::from_call(now, call).unwrap();
    assert_eq!(arrived.turn_rank, sent.rank);
}
