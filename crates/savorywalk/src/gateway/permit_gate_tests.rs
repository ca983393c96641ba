use super::*;
use crate::gateway::entry_capacity::CapacityWeights;
use crate::gateway::gateway_view::GatewayView;
use crate::gateway::{AdvertisedRate, EndpointRoster, RouteTable, TableParts};
use crate::registry::{
    BootTime, Confirmation, EndpointReport, EntryCapacity, FollowReply, FollowState,
};

const POOL: &str = "engines";

fn own() -> PeerName {
    PeerName::new("entry-1").unwrap()
}

/// A view with one cold endpoint in a pool with a cold rate.
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
    state.apply(now, now, reply);
    Arc::new(GatewayView {
        table: Some(Arc::new(table.unwrap())),
        roster: Arc::new(EndpointRoster::from_state(&state, Duration::ZERO)),
        evacuations: 0,
        ranks: Arc::default(),
        entries: entries
            .iter()
            .map(|name| PeerName::new(name).unwrap())
            .collect(),
        change_count: 1,
        ..GatewayView::default()
    })
}

fn aged_view(view: &Arc<GatewayView>, age: Duration) -> AgedView {
    let confirmation = Confirmation {
        document_number: 0,
        at: BootTime::after(Duration::ZERO),
    };
    AgedView::new(Arc::clone(view), Some((confirmation, age)))
}

fn gate() -> PermitGate {
    PermitGate::new(ColdBounds {
        overage: 1.5,
        slack: 5.0,
    })
}

/// Number of permits that an entry issues at one instant.
fn permits(gate: &PermitGate, now: Instant, aged_view: &AgedView) -> usize {
    let whole = WorkShard::default();
    let window = gate.window(now, aged_view, &own(), POOL, (WorkKind::Prompts, &whole));
    let member = &aged_view.view.roster.pool(POOL)[0];
    (0..3).filter(|_| window.try_issue(now, member)).count()
}

#[test]
fn a_settled_coordinator_issues_one_permit_per_interval() {
    let (gate, view) = (gate(), view(&["entry-1"], 5.9));
    let fresh = aged_view(&view, Duration::ZERO);
    let start = Instant::now();
    assert_eq!(permits(&gate, start, &fresh), 0);
    assert_eq!(permits(&gate, start + MIN_TENURE, &fresh), 1);
    assert_eq!(permits(&gate, start + MIN_TENURE * 2, &fresh), 1);
}

/// Guards against permits from a coordinator that was replaced without its knowledge.
#[test]
fn a_coordinator_with_a_stale_view_issues_no_permits() {
    let (gate, view) = (gate(), view(&["entry-1"], 5.9));
    let start = Instant::now();
    permits(&gate, start, &aged_view(&view, Duration::ZERO));
    let later = start + MIN_TENURE;
    assert_eq!(permits(&gate, later, &aged_view(&view, MAX_VIEW_AGE)), 0);
    assert_eq!(permits(&gate, later, &aged_view(&view, Duration::ZERO)), 1);
}

#[test]
fn an_entry_that_is_not_the_coordinator_issues_no_permits() {
    let gate = gate();
    let view = view(&["entry-2"], 5.9);
    let start = Instant::now();
    let fresh = aged_view(&view, Duration::ZERO);
    permits(&gate, start, &fresh);
    assert_eq!(permits(&gate, start + MIN_TENURE, &fresh), 0);
}

/// Guards against permits issued before the previous coordinator learns of the change.
#[test]
fn a_new_coordinator_waits_before_it_issues_permits() {
    let gate = gate();
    let start = Instant::now();
    permits(
        &gate,
        start,
        &aged_view(&view(&["entry-2"], 5.9), Duration::ZERO),
    );
    let view = view(&["entry-1"], 5.9);
    let changed = start + MIN_TENURE * 2;
    let fresh = aged_view(&view, Duration::ZERO);
    assert_eq!(permits(&gate, changed, &fresh), 0);
    assert_eq!(permits(&gate, changed + MIN_TENURE, &fresh), 1);
}

#[test]
fn cold_endpoints_are_unlimited_in_a_pool_without_a_cold_rate() {
    let (gate, view) = (gate(), view(&["entry-2"], 0.0));
    let fresh = aged_view(&view, Duration::ZERO);
    assert_eq!(permits(&gate, Instant::now(), &fresh), 3);
    let member = &view.roster.pool(POOL)[0];
    let profile = view.table.as_ref().and_then(|table| table.pool(POOL));
    let profile = profile.map(Arc::as_ref);
    assert!(!gate.needs_permit(Instant::now(), profile, member));
}

/// A gate with a known limit of two requests per second, and its view.
fn limited_gate(entries: &[&str]) -> (PermitGate, Arc<GatewayView>) {
    let (gate, view) = (gate(), view(entries, 0.0));
    let now = BootTime::after(Duration::from_secs(1));
    let endpoint = view.roster.pool(POOL)[0].endpoint();
    gate.limits
        .observe(now, now, endpoint, AdvertisedRate::PerSecond(2.0));
    (gate, view)
}

/// The interval between permits of an entry in milliseconds; `None` if it is not paced.
fn interval_ms(gate: &PermitGate, now: Instant, aged_view: &AgedView) -> Option<u128> {
    let whole = WorkShard::default();
    let work = (WorkKind::Prompts, &whole);
    let window = gate.window(now, aged_view, &own(), POOL, work);
    let member = &aged_view.view.roster.pool(POOL)[0];
    match window.rule(now, member) {
        SendRule::Paced(interval) => Some(interval.as_millis()),
        SendRule::Unlimited | SendRule::Never => None,
    }
}

/// Guards against two entries that each issue permits for the full rate.
#[test]
fn only_a_settled_coordinator_issues_permits_for_the_full_rate() {
    let (gate, view) = limited_gate(&["entry-1"]);
    let fresh = aged_view(&view, Duration::ZERO);
    let start = Instant::now();
    assert_eq!(interval_ms(&gate, start, &fresh), Some(2_500));
    assert_eq!(interval_ms(&gate, start + MIN_TENURE, &fresh), Some(500));
    let stale = aged_view(&view, MAX_VIEW_AGE);
    assert_eq!(interval_ms(&gate, start + MIN_TENURE, &stale), Some(2_500));
}

/// Coordination moves away by a change of weights and back again, and no permit is requested in
/// between. The entry in between may still count as settled.
#[test]
fn a_coordinator_that_was_replaced_for_a_while_is_unsettled_again() {
    let (gate, whole) = limited_gate(&["entry-1", "entry-2"]);
    let with_millicores = |millicores: [u32; 2]| {
        let reported: Arc<[EntryCapacity]> = millicores.map(EntryCapacity).into();
        Arc::new(GatewayView {
            weights: Arc::new(CapacityWeights::new(&whole.entries, &reported)),
            ranks: Arc::default(),
            ..GatewayView::clone(&whole)
        })
    };
    let (own_view, other_view) = (with_millicores([900, 1]), with_millicores([1, 900]));
    let fresh = aged_view(&own_view, Duration::ZERO);
    let start = Instant::now();
    assert_eq!(interval_ms(&gate, start, &fresh), Some(2_500));
    let settled = start + MIN_TENURE;
    assert_eq!(interval_ms(&gate, settled, &fresh), Some(500));
    gate.record_coordinators(settled, &other_view);
    gate.record_coordinators(settled, &own_view);
    assert_eq!(interval_ms(&gate, settled, &fresh), Some(2_500));
    let later = settled + MIN_TENURE;
    assert_eq!(interval_ms(&gate, later, &fresh), Some(500));
}

/// Guards against having no permits while the coordinator is unreachable, and against
/// permits from arbitrary entries.
#[test]
fn only_the_fallback_issues_permits_besides_the_coordinator() {
    let names = ["entry-1", "entry-2", "entry-3", "entry-4"];
    let (gate, view) = limited_gate(&names);
    let fresh = aged_view(&view, Duration::ZERO);
    let [coordinator, fallback] =
        WorkShard::default().coordinator_and_fallback(WorkKind::Prompts, &view);
    let start = Instant::now();
    for name in view.entries.iter() {
        let whole = WorkShard::default();
        let work = (WorkKind::Prompts, &whole);
        gate.window(start, &fresh, name, POOL, work);
        let later = start + MIN_TENURE;
        let window = gate.window(later, &fresh, name, POOL, work);
        let rate = window.rate(later, &view.roster.pool(POOL)[0]);
        let expected = match (
            Some(name) == coordinator.as_ref(),
            Some(name) == fallback.as_ref(),
        ) {
            (true, _) => 2.0,
            (_, true) => 2.0 * PARTIAL_SHARE,
            (false, false) => 0.0,
        };
        assert_eq!(rate, Some(expected), "{name}");
    }
}

/// Guards against an endpoint with a rate of zero that is never used again, so that the end
/// of its limit goes unnoticed.
#[test]
fn an_endpoint_with_a_rate_of_zero_is_still_probed() {
    let (gate, view) = limited_gate(&["entry-1"]);
    let now = BootTime::after(Duration::from_secs(2));
    let endpoint = view.roster.pool(POOL)[0].endpoint();
    gate.limits
        .observe(now, now, endpoint, AdvertisedRate::PerSecond(0.0));
    let fresh = aged_view(&view, Duration::ZERO);
    let start = Instant::now();
    interval_ms(&gate, start, &fresh);
    let interval = interval_ms(&gate, start + MIN_TENURE, &fresh);
    assert_eq!(interval, Some((1_000.0 / MIN_PROBE_RATE) as u128));
}

#[test]
fn the_stricter_limit_applies_to_a_cold_endpoint() {
    let gate = gate();
    let view = view(&["entry-1"], 5.9);
    let now = BootTime::after(Duration::from_secs(1));
    let endpoint = view.roster.pool(POOL)[0].endpoint();
    gate.limits
        .observe(now, now, endpoint, AdvertisedRate::PerSecond(2.0));
    let fresh = aged_view(&view, Duration::ZERO);
    let start = Instant::now();
    // An unsettled coordinator issues no permits for cold endpoints.
    assert_eq!(interval_ms(&gate, start, &fresh), None);
    assert_eq!(interval_ms(&gate, start + MIN_TENURE, &fresh), Some(500));
}

/// Guards against repeated permit requests before the next permit is available.
#[test]
fn permit_requests_back_off_after_a_refusal() {
    let gate = gate();
    let start = Instant::now();
    gate.back_off(start, "e", Some(Duration::from_millis(300)));
    assert!(gate.is_backed_off(start, "e"));
    assert!(!gate.is_backed_off(start + Duration::from_millis(300), "e"));
    gate.back_off(start, "e", Some(Duration::from_secs(60)));
    assert!(!gate.is_backed_off(start + MAX_BACKOFF, "e"));
}
