use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

use super::*;

/// What an engine of 64 slots bears while it is cold, and what the operator adds to it.
const LIMIT: ColdLimit = ColdLimit {
    per_second: 5.9,
    most: 5.9 * 1.5 + 5.0,
};

/// Requests a second that entries have for one endpoint: several times what it bears, as
/// when a data centre comes back under a burst.
const DEMAND: u64 = 40;

/// Length of a run.
const LENGTH: Duration = Duration::from_secs(20);

/// A coordinator, from when to when entries ask it. The last one before a change is still
/// asked by those who have not learned of it.
struct Coordinator {
    permits: SendPermits,
    from: Duration,
    until: Duration,
}

/// When requests reach a cold endpoint before `entries` entries whose coordinator changes
/// each four seconds.
fn arrivals(entries: u64, seed: u64) -> Vec<Duration> {
    let mut random = StdRng::seed_from_u64(seed);
    let epoch = Instant::now();
    let pause = LIMIT.pause().unwrap();
    let mut coordinators: Vec<Coordinator> = (0..6)
        .map(|turn| Coordinator {
            permits: SendPermits::default(),
            from: Duration::from_secs(4) * turn,
            until: Duration::from_secs(4) * (turn + 1) + Duration::from_millis(1_500),
        })
        .collect();
    let mut arrivals = Vec::new();
    for number in 0..DEMAND * LENGTH.as_secs() {
        let asked = Duration::from_millis(number * 1_000 / DEMAND);
        // Each entry asks the coordinator that it knows.
        let entry = random.random_range(0..entries);
        let known = coordinators
            .iter_mut()
            .filter(|coordinator| (coordinator.from..coordinator.until).contains(&asked));
        let mut known: Vec<&mut Coordinator> = known.collect();
        let place = entry as usize % known.len();
        let permits = &mut known[place].permits;
        if permits.take(epoch + asked, "e", pause) {
            let used_after = random.random_range(0..=PERMIT_LIFE.as_millis() as u64);
            arrivals.push(asked + Duration::from_millis(used_after));
        }
    }
    arrivals.sort();
    arrivals
}

/// Most arrivals within any second.
fn worst_second(arrivals: &[Duration]) -> usize {
    let counts = arrivals.iter().enumerate().map(|(first, start)| {
        let end = *start + SPAN;
        arrivals[first..].partition_point(|at| *at < end)
    });
    counts.max().unwrap_or(0)
}

/// A data centre comes back cold under several times the load that it bears.
#[rstest]
fn a_cold_endpoint_gets_what_it_bears_and_no_more(#[values(6, 60, 335)] entries: u64) {
    for seed in 0..20 {
        let arrivals = arrivals(entries, seed);
        let worst = worst_second(&arrivals);
        let served = arrivals.len() as f64 / LENGTH.as_secs_f64();
        println!("{entries} entries, seed {seed}: {served:.1} a second, at worst {worst}");
        assert!(worst as f64 <= LIMIT.most, "{worst} in a second");
        // It must not stand idle either.
        assert!(served >= LIMIT.per_second / 2.0, "{served} a second");
    }
}

#[test]
fn permits_for_one_endpoint_are_spaced() {
    let mut permits = SendPermits::default();
    let start = Instant::now();
    let pause = Duration::from_millis(200);
    assert!(permits.take(start, "a", pause));
    assert!(!permits.take(start + pause / 2, "a", pause));
    assert!(permits.take(start + pause / 2, "b", pause));
    assert!(permits.take(start + pause, "a", pause));
    assert_eq!(permits.last_permits.len(), 2);
}

/// Where even spaced permits could come together to more than is allowed, there are none.
#[rstest]
#[case(5.9, 13.85, true)]
#[case(0.5, 5.75, true)]
#[case(1.0, 1.0, false)]
#[case(5.9, 0.0, false)]
fn the_pause_follows_from_the_limit(
    #[case] per_second: f64,
    #[case] most: f64,
    #[case] has_pause: bool,
) {
    let pause = ColdLimit { per_second, most }.pause();
    assert_eq!(pause.is_some(), has_pause);
    let Some(pause) = pause else { return };
    assert!(pause.as_secs_f64() >= 1.0 / per_second);
    let span = (SPAN + PERMIT_LIFE).as_secs_f64();
    let together = COORDINATORS * (span / pause.as_secs_f64() + 1.0);
    assert!(together <= most + 1e-6, "{together}");
}

/// Guards against reserving one permit twice, and against refusals that delay the next one.
#[test]
fn reserving_a_permit_postpones_the_next_one() {
    let mut permits = SendPermits::default();
    let start = Instant::now();
    let pause = Duration::from_millis(400);
    let max_wait = Duration::from_millis(500);
    let mut reserve = || permits.reserve(start, "a", pause, max_wait);
    let granted = |wait| PermitDecision::Granted { wait };
    assert_eq!(reserve(), granted(Duration::ZERO));
    assert_eq!(reserve(), granted(pause));
    let refused = PermitDecision::Refused {
        retry_after: Some(pause * 2),
    };
    assert_eq!(reserve(), refused);
    assert_eq!(reserve(), refused);
}
