//! Returns after a burst of 1.7 to 2.6 times the usual load for three to six seconds.
//!
//! Refused callers wait for as long as they are told, at most a third of the time that they
//! have left, and return once. Told a fixed pause, those refused at the beginning of a burst
//! return before its end and are refused for good.

use super::burst::{BurstSimulation, LoadPeak, RouteLoad};
use super::tests::{chain, rates};
use super::*;

/// Three quarters of what the pools serve.
const BRIEFS: RouteLoad = RouteLoad {
    route: "briefs",
    rank: 0,
    per_second: 45.0,
};

const SLOT: Duration = Duration::from_millis(250);

fn peak(factor: f64, seconds: u64) -> LoadPeak {
    LoadPeak {
        from: Duration::from_secs(15),
        until: Duration::from_secs(15 + seconds),
        factor,
    }
}

#[test]
fn more_of_those_refused_in_a_burst_are_served_on_their_return() {
    for (seed, factor, seconds) in [(1, 1.7, 6), (2, 2.2, 4), (3, 2.6, 3), (4, 2.6, 6)] {
        let run = |scheduler| {
            let burst = BurstSimulation::new(seed, &[BRIEFS]).with_peak(peak(factor, seconds));
            burst.with_scheduler(scheduler).run()
        };
        let before = run(PlanScheduler::default());
        let burst = run(PlanScheduler::with_appointments());
        let shares = format!(
            "seed {seed}: returned {:.3} not {:.3}, served {:.3} not {:.3}",
            burst.returned_share(),
            before.returned_share(),
            burst.served_share(0.0, 1.0),
            before.served_share(0.0, 1.0),
        );
        assert!(burst.returned_share() > before.returned_share(), "{shares}");
        assert!(!burst.appointed.is_empty());
    }
}

/// The pool that is short does four seconds of work a second.
#[test]
fn returns_at_one_time_are_no_more_than_the_pools_take() {
    for seed in [1, 2, 3] {
        let burst = BurstSimulation::new(seed, &[BRIEFS]).with_peak(peak(2.6, 5));
        let burst = burst
            .with_scheduler(PlanScheduler::with_appointments())
            .run();
        let most = 1.1 * 4.0 * SLOT.as_secs_f64();
        for first in &burst.appointed {
            let span = first.at..first.at + SLOT;
            let together = burst
                .appointed
                .iter()
                .filter(|other| span.contains(&other.at));
            let work: f64 = together.map(|other| other.work_seconds).sum();
            assert!(work <= most, "seed {seed}: {work:.2} s of work");
        }
    }
}

fn digest(number: u8) -> RequestDigest {
    RequestDigest::from_bytes(&[number; 16]).unwrap()
}

fn late(now: Instant, number: u8) -> PlanDemand {
    PlanDemand {
        digest: Some(digest(number)),
        ..chain(now, 0, 0)
    }
}

/// Returns a scheduler whose pools are full, and the time of the appointment of a late plan.
fn appointed(now: Instant) -> (PlanScheduler, Instant) {
    let mut scheduler = PlanScheduler::with_appointments();
    let earlier = now.checked_sub(Duration::from_secs(60)).unwrap();
    let _ = scheduler.submit(earlier, chain(earlier, 0, 1_500), &rates());
    loop {
        if scheduler
            .submit(now, chain(now, 0, 1_500), &rates())
            .is_err()
        {
            break;
        }
        scheduler.decide(now, &rates());
    }
    match scheduler.submit(now, late(now, 1), &rates()) {
        Err(ReturnTime::Appointed(delay)) => (scheduler, now + delay),
        other => panic!("{other:?}"),
    }
}

fn class_of(scheduler: &PlanScheduler, number: PlanNumber) -> Option<PlanClass> {
    let key = scheduler.waiting.key(number);
    key.map(|key| key.class)
}

#[test]
fn repeats_that_come_early_take_nothing_from_an_appointment() {
    let now = Instant::now();
    let (mut scheduler, at) = appointed(now);
    let early = now + Duration::from_millis(10);
    for _ in 0..1_000 {
        let left = at - early;
        let repeat = scheduler.submit(early, late(now, 1), &rates());
        assert_eq!(repeat, Err(ReturnTime::Appointed(left)));
    }
    let number = scheduler.submit(at, late(now, 1), &rates()).unwrap();
    assert_eq!(class_of(&scheduler, number), Some(PlanClass::Appointed));
}

#[test]
fn a_doubled_return_claims_its_appointment_once() {
    let now = Instant::now();
    let (mut scheduler, at) = appointed(now);
    let first = scheduler.submit(at, late(now, 1), &rates()).unwrap();
    assert_eq!(class_of(&scheduler, first), Some(PlanClass::Appointed));
    let second = scheduler.submit(at, late(now, 1), &rates());
    let class = second.ok().and_then(|second| class_of(&scheduler, second));
    assert_ne!(class, Some(PlanClass::Appointed));
    let counts = scheduler.take_return_counts();
    assert_eq!(counts.kept, 1);
}

#[test]
fn a_returner_is_a_newcomer_at_a_coordinator_that_knows_no_appointment() {
    let now = Instant::now();
    let (_, at) = appointed(now);
    let mut other = PlanScheduler::with_appointments();
    let number = other.submit(at, late(now, 1), &rates()).unwrap();
    assert_eq!(class_of(&other, number), Some(PlanClass::Late));
}

/// An answer after its deadline is worth nothing, whenever its caller returns.
#[test]
fn a_plan_without_time_for_a_return_is_hopeless() {
    let now = Instant::now();
    let (mut scheduler, _) = appointed(now);
    let plan = PlanDemand {
        deadline: now + Duration::from_millis(1_200),
        ..late(now, 2)
    };
    let refused = scheduler.submit(now, plan, &rates());
    assert_eq!(refused, Err(ReturnTime::Hopeless));
}

/// A caller returns at its appointment with time enough that its plan is expected to be in
/// time, and better plans fill the pools after that.
#[test]
fn an_appointment_is_kept_by_a_plan_that_becomes_late() {
    let now = Instant::now();
    let (mut scheduler, at) = appointed(now);
    let returning = PlanDemand {
        digest: Some(digest(1)),
        ..chain(at, 1, 5_000)
    };
    let number = scheduler.submit(at, returning, &rates()).unwrap();
    assert_eq!(class_of(&scheduler, number), Some(PlanClass::Timely));
    let latest = scheduler.waiting.key(number).unwrap().until;
    let mut closed = rates();
    for rate in closed.values_mut() {
        rate.endpoints = 0.001;
    }
    let over = latest + Duration::from_millis(1);
    scheduler.expire_waiting(over, &closed);
    assert_eq!(class_of(&scheduler, number), Some(PlanClass::Appointed));
}
