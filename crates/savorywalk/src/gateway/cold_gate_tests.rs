use super::*;
use crate::gateway::gateway_view::GatewayView;
use crate::gateway::{EndpointRoster, RouteTable, TableParts};
use crate::registry::{BootTime, Confirmation, EndpointReport, FollowReply, FollowState};

const POOL: &str = "engines";

fn own() -> PeerName {
    PeerName::new("entry-1").unwrap()
}

/// A view with one cold endpoint, of a pool whose endpoints bear a few requests.
fn view(entries: &[&str], cold_rate: f64) -> Arc<GatewayView> {
    let table = RouteTable::build(TableParts {
        pools: vec![PoolProfile {
            name: POOL.into(),
            cold_rate,
            ..Default::default()
        }],
        ..Default::default()
    });
    let mut state = FollowState::default();
    let now = BootTime::after(Duration::from_secs(1));
    let reply = FollowReply {
        reports: vec![EndpointReport {
            id: "e".into(),
            pool: POOL.into(),
            address: "10.0.0.1:80".into(),
            cold_ms: 3_000,
            ..Default::default()
        }],
        ..Default::default()
    };
    state.take(now, now, reply);
    Arc::new(GatewayView {
        table: Some(Arc::new(table.unwrap())),
        roster: Arc::new(EndpointRoster::of(&state, Duration::ZERO)),
        entries: entries
            .iter()
            .map(|name| PeerName::new(name).unwrap())
            .collect(),
        news: 1,
    })
}

fn knowledge(view: &Arc<GatewayView>, age: Duration) -> ViewKnowledge {
    let confirmation = Confirmation {
        document_number: 0,
        at: BootTime::after(Duration::ZERO),
    };
    ViewKnowledge::new(Arc::clone(view), Some((confirmation, age)))
}

fn gate() -> ColdGate {
    ColdGate::new(ColdBounds {
        overage: 1.5,
        slack: 5.0,
    })
}

/// How many permits an entry gives at once.
fn permits(gate: &ColdGate, now: Instant, knowledge: &ViewKnowledge) -> usize {
    let whole = WorkShard::default();
    let window = gate.window(now, knowledge, &own(), POOL, (WorkKind::Prompts, &whole));
    let member = &knowledge.view.roster.pool(POOL)[0];
    (0..3).filter(|_| window.take(now, member)).count()
}

#[test]
fn the_coordinator_gives_one_permit_after_the_other_once_it_is_settled() {
    let (gate, view) = (gate(), view(&["entry-1"], 5.9));
    let fresh = knowledge(&view, Duration::ZERO);
    let start = Instant::now();
    assert_eq!(permits(&gate, start, &fresh), 0);
    assert_eq!(permits(&gate, start + TENURE, &fresh), 1);
    assert_eq!(permits(&gate, start + TENURE * 2, &fresh), 1);
}

/// It may have been replaced without having learned of it.
#[test]
fn a_coordinator_that_is_cut_off_gives_no_permits() {
    let (gate, view) = (gate(), view(&["entry-1"], 5.9));
    let start = Instant::now();
    permits(&gate, start, &knowledge(&view, Duration::ZERO));
    let later = start + TENURE;
    assert_eq!(permits(&gate, later, &knowledge(&view, MAX_AGE)), 0);
    assert_eq!(permits(&gate, later, &knowledge(&view, Duration::ZERO)), 1);
}

#[test]
fn an_entry_that_is_not_the_coordinator_gives_no_permits() {
    let gate = gate();
    let view = view(&["entry-2"], 5.9);
    let start = Instant::now();
    let fresh = knowledge(&view, Duration::ZERO);
    permits(&gate, start, &fresh);
    assert_eq!(permits(&gate, start + TENURE, &fresh), 0);
}

/// The one before may not have learned of the change yet.
#[test]
fn an_entry_that_becomes_the_coordinator_waits() {
    let gate = gate();
    let start = Instant::now();
    permits(
        &gate,
        start,
        &knowledge(&view(&["entry-2"], 5.9), Duration::ZERO),
    );
    let view = view(&["entry-1"], 5.9);
    let changed = start + TENURE * 2;
    let fresh = knowledge(&view, Duration::ZERO);
    assert_eq!(permits(&gate, changed, &fresh), 0);
    assert_eq!(permits(&gate, changed + TENURE, &fresh), 1);
}

#[test]
fn cold_endpoints_of_a_pool_without_a_limit_take_as_much_as_others() {
    let (gate, view) = (gate(), view(&["entry-2"], 0.0));
    let fresh = knowledge(&view, Duration::ZERO);
    assert_eq!(permits(&gate, Instant::now(), &fresh), 3);
    let member = &view.roster.pool(POOL)[0];
    let profile = view.table.as_ref().and_then(|table| table.pool(POOL));
    let profile = profile.map(Arc::as_ref);
    assert!(!gate.needs_permit(Instant::now(), profile, member));
}
