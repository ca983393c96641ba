use super::*;

const WINDOW: Duration = Duration::from_secs(10);

fn limits() -> RetryLimits {
    RetryLimits {
        window: WINDOW,
        share: 0.2,
        extra: 60.0,
    }
}

const CURRENT: EntryCount = EntryCount { all: 6, earlier: 0 };

fn at(millis: u64) -> BootTime {
    BootTime::after(Duration::from_secs(1_000) + Duration::from_millis(millis))
}

/// A budget of an entry that is settled as its coordinator at time 0.
fn settled() -> PoolBudget {
    let mut budget = PoolBudget::new(limits());
    budget.adopt(at(0), std::iter::empty());
    budget.confirm(at(0));
    budget
}

/// Confirms a coordinator each half second, from `from` to `to` in milliseconds.
fn confirm(budget: &mut PoolBudget, from: u64, to: u64) {
    for millis in (from..=to).step_by(500) {
        budget.confirm(at(millis));
    }
}

#[test]
fn entries_with_failing_sends_stay_within_the_extra_part() {
    let mut coordinator = settled();
    let granted: u32 = (0..6)
        .map(|_| coordinator.grant(at(0), 1_000, CURRENT))
        .sum();
    assert_eq!(f64::from(granted), limits().extra);
}

#[test]
fn first_sends_allow_more_retries() {
    let mut budget = settled();
    budget.grant(at(0), 1_000, CURRENT);
    budget.record_first(at(0), 100);
    assert_eq!(budget.grant(at(0), 1_000, CURRENT), 20);
}

#[test]
fn no_window_has_more_retries_than_the_budget() {
    let mut budget = settled();
    let mut retries: Vec<u64> = Vec::new();
    for millis in (0..40_000).step_by(100) {
        budget.confirm(at(millis));
        let granted = budget.grant(at(millis), 1, CURRENT);
        retries.extend((0..granted).map(|_| millis));
    }
    assert!(retries.len() as f64 > limits().extra * 3.0);
    for from in &retries {
        let end = from + WINDOW.as_millis() as u64;
        let within = retries.iter().filter(|at| (*from..end).contains(*at));
        assert!(within.count() as f64 <= limits().extra);
    }
}

/// Guards against an entry that starts with a whole part of the budget after each restart.
#[test]
fn an_entry_that_has_just_started_grants_only_what_was_earned_since() {
    let mut budget = PoolBudget::new(limits());
    budget.confirm(at(0));
    assert_eq!(budget.grant(at(0), 1_000, CURRENT), 0);
    budget.record_first(at(100), 10);
    assert_eq!(budget.grant(at(100), 1_000, CURRENT), 2);
    assert_eq!(budget.grant(at(200), 1_000, CURRENT), 0);
}

#[test]
fn a_coordinator_without_a_ledger_waits_until_no_other_grant_counts() {
    let mut budget = PoolBudget::new(limits());
    let settling = budget.times.settling_time.as_millis() as u64;
    assert!(settling > WINDOW.as_millis() as u64);
    confirm(&mut budget, 0, settling);
    assert!(!budget.is_settled(at(settling - 1)));
    assert_eq!(f64::from(budget.grant(at(settling), 1_000, CURRENT)), 60.0);
}

/// Guards against a coordinator that was suspended and does not know what another one granted.
#[test]
fn a_coordinator_that_was_suspended_begins_anew() {
    let mut budget = settled();
    confirm(&mut budget, 0, 20_000);
    assert!(budget.is_settled(at(20_000)));
    assert!(!budget.is_settled(at(22_500)));
    budget.confirm(at(22_500));
    assert_eq!(budget.grant(at(22_500), 1_000, CURRENT), 0);
}

#[test]
fn a_ledger_that_is_passed_on_is_used_by_one_entry_only() {
    let mut first = settled();
    assert_eq!(first.grant(at(0), 50, CURRENT), 50);
    let spent = first.hand_over(at(100)).unwrap();
    assert!(first.hand_over(at(100)).is_none());
    assert_eq!(first.grant(at(100), 1_000, CURRENT), 0);
    let mut second = PoolBudget::new(limits());
    second.adopt(at(200), spent.into_iter());
    assert!(second.hand_over(at(300)).is_none(), "not confirmed yet");
    second.confirm(at(400));
    assert_eq!(second.grant(at(500), 1_000, CURRENT), 10);
}

#[test]
fn earned_tokens_expire_and_are_collected_once() {
    let mut budget = PoolBudget::new(limits());
    budget.record_first(at(0), 50);
    assert_eq!(budget.drain_earned(at(500)).count_whole(), 10);
    assert_eq!(budget.drain_earned(at(500)).count_whole(), 0);
    budget.record_first(at(1_000), 50);
    assert_eq!(budget.take_earned(at(1_500), 4), 4);
    assert_eq!(budget.take_earned(at(2_100), 10), 0, "expired");
}

#[test]
fn entries_of_an_earlier_version_keep_their_part_of_the_extra_part() {
    let mut budget = settled();
    let entries = EntryCount { all: 6, earlier: 3 };
    let granted = budget.grant(at(0), 1_000, entries);
    assert_eq!(f64::from(granted), (limits().extra * 0.7).floor());
}

#[test]
fn a_denial_pauses_requests_for_tokens_longer_while_many_ask() {
    let mut budget = PoolBudget::new(limits());
    assert!(budget.may_ask(at(0)));
    budget.back_off(at(0), budget.backoff_time());
    assert!(!budget.may_retry(at(50)) && budget.may_retry(at(100)));
    (0..335).for_each(|_| assert_eq!(budget.grant(at(200), 1, CURRENT), 0));
    let time = budget.backoff_time();
    assert!(time >= Duration::from_millis(300));
    budget.back_off(at(200), time);
    budget.record_first(at(200), 5);
    assert!(!budget.may_ask(at(400)) && budget.may_retry(at(400)));
}

/// Guards against an extra part that is lost while lists of entries do not show a change yet.
#[test]
fn an_adopted_ledger_waits_for_a_confirmation_and_is_then_passed_on() {
    let mut budget = PoolBudget::new(limits());
    budget.adopt(at(0), std::iter::empty());
    for millis in (500..8_000).step_by(500) {
        assert!(budget.hand_over(at(millis)).is_none());
    }
    assert!(budget.is_settled(at(8_000)));
    assert!(budget.hand_over(at(8_000)).is_some());
    assert!(!budget.is_settled(at(8_000)));
}

#[test]
fn a_budget_is_idle_once_nothing_in_it_counts() {
    let mut budget = PoolBudget::new(limits());
    assert!(budget.is_idle(at(0)));
    budget.record_first(at(0), 50);
    budget.take_earned(at(0), 10);
    assert!(!budget.is_idle(at(9_000)));
    assert!(budget.is_idle(at(11_000)));
    budget.grant(at(11_000), 1, CURRENT);
    assert!(!budget.is_idle(at(20_000)));
}
