use super::*;
use crate::gateway::PoolRate;

fn digest(number: u8) -> RequestDigest {
    RequestDigest::from_bytes(&[number; 16]).unwrap()
}

/// A pool of four endpoints, half of which is used, and a plan that needs `work_ms` of it.
fn outlook(work_ms: u64) -> PoolOutlook {
    PoolOutlook {
        pool: "third".into(),
        work_seconds: Duration::from_millis(work_ms).as_secs_f64(),
        rate: PoolRate { endpoints: 4.0 },
        backlog_seconds: 0.0,
        recent_arrivals: 2.0,
        usual_arrivals: 2.0,
    }
}

fn span(now: Instant) -> ReturnSpan {
    ReturnSpan {
        earliest: now,
        latest: now + Duration::from_secs(4),
    }
}

/// A slot has 0.45 s: 0.9 of two free endpoints for 0.25 s.
#[test]
fn a_full_slot_is_not_promised_again_until_an_appointment_is_missed() {
    let now = Instant::now();
    let mut calendar = ReturnCalendar::default();
    let mut reserve = |now, number| {
        let at = calendar.reserve(now, digest(number), span(now), &[outlook(150)]);
        (at.unwrap() - now).as_millis() / SLOT.as_millis()
    };
    let slots: Vec<u128> = (0..7).map(|number| reserve(now, number)).collect();
    assert_eq!(slots, [0, 0, 0, 1, 1, 1, 2]);
    let later = now + SLOT * 5;
    calendar.expire(later);
    assert_eq!(calendar.take_counts().missed, 7);
    let at = calendar.reserve(later, digest(8), span(later), &[outlook(150)]);
    assert_eq!(at, Some(later));
}

#[test]
fn all_pools_of_a_plan_need_room() {
    let now = Instant::now();
    let mut calendar = ReturnCalendar::default();
    let full = PoolOutlook {
        pool: "first".into(),
        backlog_seconds: 100.0,
        ..outlook(20)
    };
    let at = calendar.reserve(now, digest(1), span(now), &[outlook(20), full]);
    assert_eq!(at, None);
    assert!(calendar.due_work(now + SLOT).is_empty());
}

#[test]
fn a_plan_larger_than_a_slot_extends_into_the_next_ones() {
    let now = Instant::now();
    let mut calendar = ReturnCalendar::default();
    let mut reserve = |number, work_ms| {
        let at = calendar.reserve(now, digest(number), span(now), &[outlook(work_ms)]);
        at.map(|at| (at - now).as_millis() / SLOT.as_millis())
    };
    assert_eq!(reserve(1, 1_000), Some(0));
    assert_eq!(reserve(2, 300), Some(2));
    assert_eq!(reserve(3, 5_000), None);
}
