use super::*;
use crate::gateway::plain_wire_tests::node;
use crate::gateway::{
    DataCenterFilter, EndpointRoster, PieceProfile, PoolProfile, RouteTable, StageDemand,
    StageRule, TableParts,
};
use crate::registry::{EndpointReport, FollowReply, FollowState};

const POOL: &str = "stages";

/// A view in which one entry coordinates two data centres with four endpoints each.
fn view(own: &PeerName) -> Arc<GatewayView> {
    let table = RouteTable::build(TableParts {
        pools: vec![PoolProfile {
            name: POOL.into(),
            pieces: Some(PieceProfile {
                slots: 1,
                queue: 1,
                batch: 10,
                call_time: Duration::from_millis(200),
                piece_time: Duration::from_millis(10),
                result_capacity_bytes: 100_000_000,
                result_lifetime: Duration::from_secs(10),
            }),
            ..Default::default()
        }],
        ..Default::default()
    });
    let reports = (0..8).map(|index| EndpointReport {
        id: format!("e{index}"),
        pool: POOL.into(),
        address: format!("127.0.0.1:{}", index + 1),
        data_center: ["a", "b"][index % 2].into(),
        ..Default::default()
    });
    let reply = FollowReply {
        reports: reports.collect(),
        ..Default::default()
    };
    let mut state = FollowState::default();
    state.apply(BootTime::default(), BootTime::default(), reply);
    Arc::new(GatewayView {
        table: Some(Arc::new(table.unwrap())),
        roster: Arc::new(EndpointRoster::from_state(&state, Duration::ZERO)),
        entries: [own.clone()].into(),
        ..GatewayView::default()
    })
}

fn request(now: Instant, data_center_filter: DataCenterFilter) -> PlanRequest {
    let rule = StageRule {
        pool: POOL.into(),
        after: Vec::new(),
        result_bytes: 1_000,
    };
    PlanRequest {
        request_id: "r".into(),
        digest: None,
        graph: Arc::new([rule].into_iter().collect()),
        pieces: [4].into(),
        key: "k".into(),
        route: "route".into(),
        workspace: Arc::default(),
        rank: 0,
        turn_rank: 0,
        size: 1_000,
        due: now + Duration::from_secs(2),
        deadline: now + Duration::from_secs(9),
        tail: Duration::ZERO,
        near: "a".into(),
        data_center_filter,
        returning: false,
        timely_only: true,
        no_reservation: false,
        is_rerun: false,
        needs_retries: false,
    }
}

fn choose(node: &GatewayNode, request: &PlanRequest) -> ShardChoice {
    let now = Instant::now();
    let total = Duration::from_millis(300);
    let plan = PlanDemand {
        digest: None,
        stages: vec![StageDemand {
            pool: POOL.into(),
            work: Duration::from_millis(50),
            completion_time: total,
        }],
        total,
        route: Arc::clone(&request.route),
        workspace: Arc::default(),
        size: request.size,
        utility: 1.0,
        turn_utility: 1.0,
        due: request.due,
        deadline: request.deadline,
        returning: false,
        timely_only: true,
    };
    let wait = (Duration::from_secs(2), 1.0);
    node.choose_other_shard(now, &WorkShard::from_name("a"), request, &plan, wait)
}

/// One entry coordinates both shards: it reports to itself, without a link, and only data centres
/// that the request may use are chosen.
#[tokio::test]
async fn an_entry_that_coordinates_two_shards_reports_to_itself() {
    let node = node();
    let view = view(node.exchange.hub.name());
    node.view.store(Arc::clone(&view));
    let now = Instant::now();
    let request = request(now, DataCenterFilter::default());
    assert_eq!(choose(&node, &request), ShardChoice::Unknown);

    let other = WorkShard::from_name("b");
    let admission = node.plan_admission(&other);
    let mut pacers = FastMap::default();
    node.tell_load(&view, &other, &admission, &mut pacers);
    let idle = choose(&node, &request);
    assert_eq!(idle, ShardChoice::Unknown, "an idle shard reports nothing");

    let _permit = admission.admit(&request).await.unwrap();
    node.tell_load(&view, &other, &admission, &mut pacers);
    assert_eq!(choose(&node, &request), ShardChoice::Named(other));

    let only_own = DataCenterFilter::only(BTreeSet::from(["a".to_string()]));
    let bound = self::request(now, only_own);
    // The shard that has room is not allowed, and of no other one anything is known.
    assert_eq!(choose(&node, &bound), ShardChoice::Unknown);
}
