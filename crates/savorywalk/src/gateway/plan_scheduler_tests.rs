use super::*;

/// Three pools of four endpoints each: one data centre's part of larger pools.
pub(super) fn rates() -> PoolRates {
    let pools = ["first", "second", "third"];
    let rates = pools.map(|pool| (pool.into(), PoolRate { endpoints: 4.0 }));
    rates.into_iter().collect()
}

fn stage(pool: &str, work_ms: u64, done_ms: u64) -> StageDemand {
    StageDemand {
        pool: pool.into(),
        work: Duration::from_millis(work_ms),
        completion_time: Duration::from_millis(done_ms),
    }
}

/// A plan with stages in all three pools: one light piece, then 6 of the 30 pieces and 16 of
/// the 68 pieces that fit in a call of 0.28 s.
pub(super) fn chain(now: Instant, rank: u8, due_ms: u64) -> PlanDemand {
    PlanDemand {
        stages: vec![
            stage("first", 24, 350),
            stage("second", 56, 700),
            stage("third", 66, 1_050),
        ],
        total: Duration::from_millis(1_050),
        route: "chains".into(),
        workspace: Arc::default(),
        size: 1_000,
        utility: 0.33_f64.powi(rank.into()),
        turn_utility: 1.0,
        due: now + Duration::from_millis(due_ms),
        deadline: now + Duration::from_secs(14),
        returning: false,
        timely_only: false,
        digest: None,
    }
}

/// A plan with a stage in the first pool only, like those of the route shift-summary.
fn short(now: Instant, rank: u8) -> PlanDemand {
    PlanDemand {
        stages: vec![stage("first", 70, 350)],
        total: Duration::from_millis(350),
        ..chain(now, rank, 1_900)
    }
}

fn begun(outcomes: &[(PlanNumber, PlanOutcome)]) -> Vec<PlanNumber> {
    let begun = outcomes.iter().filter(|(_, outcome)| match outcome {
        PlanOutcome::Begun(_) => true,
        PlanOutcome::Refused { .. } => false,
    });
    begun.map(|(number, _)| *number).collect()
}

/// Submits plans of one rank until one is refused or does not begin. Returns those that have
/// begun.
fn fill(scheduler: &mut PlanScheduler, now: Instant, rank: u8) -> Vec<PlanNumber> {
    let mut all = Vec::new();
    loop {
        if scheduler
            .submit(now, chain(now, rank, 1_500), &rates())
            .is_err()
        {
            return all;
        }
        let numbers = begun(&scheduler.decide(now, &rates()));
        if numbers.is_empty() {
            return all;
        }
        all.extend(numbers);
    }
}

/// Returns a scheduler whose pools are full, its begun plans, and a time at which the arrival
/// rate has decayed.
fn full_scheduler(start: Instant) -> (PlanScheduler, Vec<PlanNumber>, Instant) {
    let mut scheduler = PlanScheduler::default();
    let numbers = fill(&mut scheduler, start, 0);
    scheduler.decide(start + Duration::from_secs(4), &rates());
    let now = start + Duration::from_secs(5);
    scheduler.decide(now, &rates());
    assert_eq!(scheduler.waiting(), 0);
    (scheduler, numbers, now)
}

#[test]
fn a_plan_begins_immediately_when_its_pools_have_capacity() {
    let now = Instant::now();
    let mut scheduler = PlanScheduler::default();
    let number = scheduler
        .submit(now, chain(now, 0, 1_500), &rates())
        .unwrap();
    let outcomes = scheduler.decide(now, &rates());
    assert_eq!(outcomes, [(number, PlanOutcome::Begun(PlanClass::Timely))]);
}

/// In a burst of 2.96 times the usual load on one route, 1,100 of 1,350 results of the second
/// pool waited for the third, calls were sent with 20 of 30 pieces, and a third of the
/// requests served were late.
#[test]
fn work_in_progress_is_limited_to_what_keeps_the_pools_busy() {
    let now = Instant::now();
    let mut scheduler = PlanScheduler::default();
    let begun = fill(&mut scheduler, now, 0).len();
    // The second pool does 4 s of work per second, so 56 ms per plan in 0.84 s. The 60th plan
    // would slightly exceed the limit.
    assert_eq!(begun, 59);
}

#[test]
fn finished_stages_and_ended_plans_free_capacity() {
    let now = Instant::now();
    let mut scheduler = PlanScheduler::default();
    let numbers = fill(&mut scheduler, now, 0);
    assert_eq!(scheduler.waiting(), 1);
    scheduler.finish_stage(numbers[0], 2);
    scheduler.end(numbers[1]);
    assert_eq!(begun(&scheduler.decide(now, &rates())).len(), 1);
}

/// Briefs have three times the utility of notes and the same demand, so they should not wait
/// behind notes in a burst of notes.
#[test]
fn waiting_plans_begin_by_rank_and_then_by_latest_start() {
    let now = Instant::now();
    let mut scheduler = PlanScheduler::default();
    let numbers = fill(&mut scheduler, now, 1);
    let later = scheduler
        .submit(now, chain(now, 0, 1_600), &rates())
        .unwrap();
    let sooner = scheduler
        .submit(now, chain(now, 0, 1_400), &rates())
        .unwrap();
    for expected in [sooner, later] {
        scheduler.end(numbers[usize::from(expected == later)]);
        assert_eq!(begun(&scheduler.decide(now, &rates())), [expected]);
    }
}

#[test]
fn a_plan_does_not_wait_for_pools_that_it_does_not_use() {
    let now = Instant::now();
    let mut scheduler = PlanScheduler::default();
    fill(&mut scheduler, now, 0);
    let mut waiting = chain(now, 0, 1_500);
    waiting.stages[0].work = Duration::ZERO;
    scheduler.submit(now, waiting, &rates()).unwrap();
    let mut free = short(now, 2);
    free.stages[0].pool = "other".into();
    let number = scheduler.submit(now, free, &rates()).unwrap();
    assert_eq!(begun(&scheduler.decide(now, &rates())), [number]);
}

/// Plans that can't be served in time are refused immediately, not when their time is over.
#[test]
fn a_timely_only_plan_is_refused_immediately_if_it_would_be_late() {
    let now = Instant::now();
    let mut scheduler = PlanScheduler::default();
    fill(&mut scheduler, now, 0);
    let mut taken = 0;
    let return_time = loop {
        let mut plan = chain(now, 0, 1_500);
        plan.timely_only = true;
        match scheduler.submit(now, plan, &rates()) {
            Ok(_) => taken += 1,
            Err(return_time) => break return_time,
        }
    };
    // 0.45 s are left besides the 1.05 s of the stages. In that time the third pool does the
    // work of 27 plans; one was waiting before.
    assert_eq!(taken, 27);
    let expected = ReturnTime::After(Duration::from_millis(14_000) / 3);
    assert_eq!(return_time, expected);
}

#[test]
fn late_plans_begin_only_with_spare_capacity() {
    let (mut scheduler, numbers, now) = full_scheduler(Instant::now());
    let late = scheduler.submit(now, chain(now, 0, 900), &rates()).unwrap();
    scheduler.end(numbers[0]);
    scheduler.end(numbers[1]);
    assert!(!begun(&scheduler.decide(now, &rates())).contains(&late));
    numbers[2..]
        .iter()
        .for_each(|number| scheduler.end(*number));
    let outcomes = scheduler.decide(now, &rates());
    assert!(outcomes.contains(&(late, PlanOutcome::Begun(PlanClass::Late))));
}

/// At twice the load that a pool can serve, 2,700 plans waited for one to four seconds and
/// were then refused, most of them overtaken by requests of a better rank.
#[test]
fn late_plans_are_refused_after_their_maximum_wait() {
    let (mut scheduler, _, now) = full_scheduler(Instant::now());
    let late = scheduler.submit(now, chain(now, 0, 900), &rates()).unwrap();
    let due = now + MAX_LATE_WAIT + WAKE_MARGIN;
    let outcomes = scheduler.decide(due, &rates());
    let outcome = outcomes.iter().find(|(number, _)| *number == late);
    assert!(matches!(outcome, Some((_, PlanOutcome::Refused { .. }))));
}

#[test]
fn late_plans_of_returning_callers_wait_longer() {
    let (mut scheduler, _, now) = full_scheduler(Instant::now());
    let mut retried = chain(now, 0, 900);
    retried.returning = true;
    let number = scheduler.submit(now, retried, &rates()).unwrap();
    let due = now + MAX_LATE_WAIT + WAKE_MARGIN;
    let outcomes = scheduler.decide(due, &rates());
    assert!(outcomes.iter().all(|(decided, _)| *decided != number));
}

/// A burst of briefs uses the full capacity of the pools. Notes would wait until they are
/// late, and are refused immediately.
#[test]
fn plans_of_a_lower_rank_are_refused_immediately_during_a_burst() {
    let mut scheduler = PlanScheduler::default();
    let mut now = Instant::now();
    let mut done = now;
    for _ in 0..300 {
        now += Duration::from_millis(13);
        let _ = scheduler.submit(now, chain(now, 0, 1_500), &rates());
        // The third pool finishes one plan every 66 ms / 4.
        let oldest = scheduler.begun.keys().min().copied();
        if let (true, Some(oldest)) = (now > done + Duration::from_micros(16_500), oldest) {
            scheduler.end(oldest);
            done += Duration::from_micros(16_500);
        }
        scheduler.decide(now, &rates());
    }
    let mut note = chain(now, 1, 2_300);
    note.timely_only = true;
    assert!(scheduler.submit(now, note, &rates()).is_err());
    let quiet = now + Duration::from_secs(4);
    let mut note = chain(quiet, 1, 2_300);
    note.timely_only = true;
    assert!(scheduler.submit(quiet, note, &rates()).is_ok());
}

#[test]
fn a_plan_of_higher_utility_begins_first_even_when_it_is_late() {
    let (mut scheduler, numbers, now) = full_scheduler(Instant::now());
    let note = scheduler
        .submit(now, chain(now, 2, 1_500), &rates())
        .unwrap();
    let mut large = chain(now, 0, 900);
    large.utility = 4.0;
    let large = scheduler.submit(now, large, &rates()).unwrap();
    numbers.iter().for_each(|number| scheduler.end(*number));
    let begun = begun(&scheduler.decide(now, &rates()));
    let position = |number| begun.iter().position(|other| *other == number);
    assert!(position(large) < position(note), "{begun:?}");
}

#[test]
fn a_plan_that_misses_its_latest_start_while_waiting_is_late() {
    let now = Instant::now();
    let mut scheduler = PlanScheduler::default();
    let numbers = fill(&mut scheduler, now, 0);
    let missed = scheduler.next_due().unwrap();
    numbers.iter().for_each(|number| scheduler.end(*number));
    let outcomes = scheduler.decide(missed, &rates());
    assert_eq!(outcomes.len(), 1);
    assert_eq!(outcomes[0].1, PlanOutcome::Begun(PlanClass::Late));
}

#[test]
fn plans_do_not_wait_forever_for_a_pool_without_endpoints() {
    let now = Instant::now();
    let mut rates = rates();
    rates.insert("third".into(), PoolRate::default());
    let mut scheduler = PlanScheduler::default();
    let first = scheduler.submit(now, chain(now, 0, 1_500), &rates).unwrap();
    assert_eq!(begun(&scheduler.decide(now, &rates)), [first]);
    assert!(scheduler.submit(now, chain(now, 0, 1_500), &rates).is_err());
}
