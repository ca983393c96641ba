use super::*;
use crate::gateway::plan_scheduler::{PoolRates, StageDemand};
use crate::gateway::pool_load::PoolRate;

const OWN_WAIT: Duration = Duration::from_secs(2);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A report on one pool of four endpoints.
pub(in crate::gateway::shard_balance) fn report(backlog: Duration) -> ShardReport {
    let rates = PoolRates::from_iter([("pool".into(), PoolRate { endpoints: 4.0 })]);
    let backlogs = FastMap::from_iter([("pool".into(), backlog)]);
    ShardReport::new(&backlogs, &rates)
}

/// A plan of 0.1 s of endpoint time that takes 1 s and may wait for `slack`.
pub(super) fn plan(now: Instant, slack: Duration) -> PlanDemand {
    let total = Duration::from_secs(1);
    PlanDemand {
        digest: None,
        stages: vec![StageDemand {
            pool: "pool".into(),
            work: ms(100),
            completion_time: total,
        }],
        total,
        route: "route".into(),
        workspace: Arc::default(),
        size: 1_000,
        utility: 1.0,
        turn_utility: 1.0,
        due: now + total + slack,
        deadline: now + Duration::from_secs(14),
        returning: false,
        timely_only: true,
    }
}

pub(super) fn shard(name: &str) -> WorkShard {
    WorkShard::from_name(name)
}

pub(super) fn peer(name: &str) -> PeerName {
    PeerName::new(name).unwrap()
}

fn others(names: &[&str]) -> Vec<OtherShard> {
    let others = names.iter().map(|name| OtherShard {
        shard: shard(name),
        carriage: Duration::ZERO,
    });
    others.collect()
}

/// Asks for a plan that may wait 0.3 s.
fn choose(loads: &mut ShardLoads, now: Instant, others: &[OtherShard]) -> ShardChoice {
    let query = BalanceQuery {
        plan: &plan(now, ms(300)),
        own_wait: OWN_WAIT,
        preceding_share: 1.0,
        others,
    };
    loads.choose(now, &query)
}

fn named(name: &str) -> ShardChoice {
    ShardChoice::Named(shard(name))
}

#[test]
fn the_shard_that_begins_a_plan_soonest_is_named() {
    let now = Instant::now();
    let mut loads = ShardLoads::default();
    let mut others = others(&["a", "b"]);
    loads.record(now, &peer("x"), &shard("a"), 1, report(ms(200)));
    assert_eq!(choose(&mut loads, now, &others), named("a"));
    loads.record(now, &peer("y"), &shard("b"), 1, report(ms(100)));
    assert_eq!(choose(&mut loads, now, &others), named("b"));
    // The carriage of the results outweighs the shorter backlog.
    others[1].carriage = ms(150);
    assert_eq!(choose(&mut loads, now, &others), named("a"));
    // With both backlogs past the slack, no shard is asked; with one unknown, the hash decides.
    loads.record(now, &peer("x"), &shard("a"), 2, report(ms(400)));
    loads.record(now, &peer("y"), &shard("b"), 2, report(ms(500)));
    assert_eq!(choose(&mut loads, now, &others), ShardChoice::NoneHasRoom);
    others.extend(super::tests::others(&["c"]));
    assert_eq!(choose(&mut loads, now, &others), ShardChoice::Unknown);
}

/// A pool without endpoints has no backlog, but no room either.
#[test]
fn a_shard_without_endpoints_has_no_room() {
    let now = Instant::now();
    let mut loads = ShardLoads::default();
    let rates = PoolRates::from_iter([("pool".into(), PoolRate::default())]);
    let unusable = ShardReport::new(&FastMap::default(), &rates);
    loads.record(now, &peer("x"), &shard("a"), 1, unusable);
    let choice = choose(&mut loads, now, &others(&["a"]));
    assert_eq!(choice, ShardChoice::NoneHasRoom);
}

/// Failure: the coordinator of a shard is lost, or its notices are. Its last one said that the
/// shard is empty.
#[test]
fn a_shard_is_not_chosen_by_an_old_report() {
    let now = Instant::now();
    let mut loads = ShardLoads::default();
    loads.record(now, &peer("x"), &shard("a"), 1, report(Duration::ZERO));
    let others = others(&["a"]);
    assert_eq!(choose(&mut loads, now, &others), named("a"));
    let later = now + MAX_REPORT_AGE + ms(1);
    assert_eq!(choose(&mut loads, later, &others), ShardChoice::Unknown);
    // A doubled notice doesn't make the word fresh again.
    assert!(!loads.record(later, &peer("x"), &shard("a"), 1, report(Duration::ZERO)));
    assert_eq!(choose(&mut loads, later, &others), ShardChoice::Unknown);
}

/// What waits may have grown by the age of the report: the plan may wait 0.3 s.
#[test]
fn a_report_has_to_leave_room_for_its_age() {
    let now = Instant::now();
    let mut loads = ShardLoads::default();
    let others = others(&["a"]);
    loads.record(now, &peer("x"), &shard("a"), 1, report(ms(200)));
    // It may have room, so the refusal is not final.
    let late = choose(&mut loads, now + ms(101), &others);
    assert_eq!(late, ShardChoice::Unknown);
    let soon = choose(&mut loads, now + ms(99), &others);
    assert_eq!(soon, named("a"));
    loads.record(now, &peer("x"), &shard("a"), 2, report(ms(301)));
    assert_eq!(choose(&mut loads, now, &others), ShardChoice::NoneHasRoom);
    let nobody = choose(&mut loads, now, &[]);
    assert_eq!(nobody, ShardChoice::Unknown);
}

/// Failure: notices arrive twice or in another order.
#[test]
fn doubled_and_reordered_notices_change_nothing() {
    let now = Instant::now();
    let mut loads = ShardLoads::default();
    let others = others(&["a"]);
    let full = || report(ms(900));
    assert!(loads.record(now, &peer("x"), &shard("a"), 2, full()));
    assert!(!loads.record(now, &peer("x"), &shard("a"), 1, report(Duration::ZERO)));
    assert!(!loads.record(now, &peer("x"), &shard("a"), 2, report(Duration::ZERO)));
    assert_eq!(choose(&mut loads, now, &others), ShardChoice::NoneHasRoom);
}

/// Failure: the coordinator of a shard is replaced. The new one numbers its notices anew, and
/// a last notice of the old one arrives twice.
#[test]
fn a_new_coordinator_counts_from_its_first_report() {
    let now = Instant::now();
    let mut loads = ShardLoads::default();
    let others = others(&["a"]);
    assert!(loads.record(now, &peer("x"), &shard("a"), 900, report(Duration::ZERO)));
    assert!(loads.record(now + ms(50), &peer("y"), &shard("a"), 1, report(ms(900))));
    let later = now + ms(60);
    assert_eq!(choose(&mut loads, later, &others), ShardChoice::NoneHasRoom);
    assert!(!loads.record(later, &peer("x"), &shard("a"), 900, report(Duration::ZERO)));
    assert_eq!(choose(&mut loads, later, &others), ShardChoice::NoneHasRoom);
    // Numbers of a sender that was silent are forgotten, so they don't outlast its restart.
    let restarted = later + SEQUENCE_MEMORY;
    assert!(loads.record(restarted, &peer("y"), &shard("a"), 1, report(ms(0))));
    assert_eq!(choose(&mut loads, restarted, &others), named("a"));
}

/// One report must not draw a whole burst: each plan sent adds 25 ms to the backlog, until the
/// shard is as late as a plan may be.
#[test]
fn what_was_sent_counts_until_it_is_reported() {
    let now = Instant::now();
    let mut loads = ShardLoads::default();
    let others = others(&["a"]);
    loads.record(now, &peer("x"), &shard("a"), 1, report(ms(100)));
    let sent = (0..100).filter(|_| choose(&mut loads, now, &others) == named("a"));
    assert_eq!(sent.count(), 9);
    // The next report was made before the plans arrived, the one after that includes them.
    let soon = now + ms(20);
    loads.record(soon, &peer("x"), &shard("a"), 2, report(ms(100)));
    assert_eq!(choose(&mut loads, soon, &others), ShardChoice::NoneHasRoom);
    let later = now + SEND_TIME;
    loads.record(later, &peer("x"), &shard("a"), 3, report(ms(100)));
    assert_eq!(choose(&mut loads, later, &others), named("a"));
}

/// Load: a burst of the first rank, which a tenth of the backlog precedes. What was sent is of
/// that rank too, so it counts whole.
#[test]
fn a_better_rank_waits_for_a_share_of_the_backlog_and_all_that_was_sent() {
    let now = Instant::now();
    let mut loads = ShardLoads::default();
    loads.record(now, &peer("x"), &shard("a"), 1, report(ms(1_000)));
    let plan = plan(now, ms(300));
    let others = others(&["a"]);
    let query = BalanceQuery {
        plan: &plan,
        own_wait: OWN_WAIT,
        preceding_share: 0.1,
        others: &others,
    };
    let sent = (0..100).filter(|_| loads.choose(now, &query) == named("a"));
    assert_eq!(sent.count(), 9);
}

/// A late plan goes only where endpoints would be idle.
#[test]
fn a_plan_that_is_late_everywhere_goes_to_an_idle_shard() {
    let now = Instant::now();
    let mut loads = ShardLoads::default();
    let others = others(&["a"]);
    let late = PlanDemand {
        due: now,
        ..plan(now, Duration::ZERO)
    };
    let query = |own_wait| BalanceQuery {
        plan: &late,
        own_wait,
        preceding_share: 1.0,
        others: &others,
    };
    loads.record(now, &peer("x"), &shard("a"), 1, report(ms(10)));
    assert_eq!(
        loads.choose(now, &query(OWN_WAIT)),
        ShardChoice::NoneHasRoom
    );
    loads.record(now, &peer("x"), &shard("a"), 2, report(Duration::ZERO));
    // The plan is late for its size: it gains nothing elsewhere.
    let own_idle = loads.choose(now, &query(Duration::ZERO));
    assert_eq!(own_idle, ShardChoice::NoneHasRoom);
    assert_eq!(loads.choose(now, &query(OWN_WAIT)), named("a"));
}
