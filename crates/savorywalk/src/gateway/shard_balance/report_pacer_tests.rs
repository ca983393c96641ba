use super::*;
use crate::gateway::shard_balance::shard_loads::tests::report;

const START: u64 = 100;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Tells as a coordinator does, every 10 ms for a time, and returns how many reports went out.
fn tell(
    pacer: &mut ReportPacer,
    now: &mut Instant,
    time: Duration,
    has_work: bool,
    backlog: impl Fn(u64) -> Duration,
) -> usize {
    let ticks = 0..time.as_millis() as u64 / 10;
    let reported = ticks.filter(|tick| {
        *now += ms(10);
        pacer.may_tell(*now, 3, has_work)
            && pacer
                .tell(*now, has_work, &report(backlog(*tick)))
                .is_some()
    });
    reported.count()
}

/// Load: a burst whose backlog changes all the time, then steady work, then none.
#[test]
fn reports_are_bounded_in_rate_and_end_with_the_work() {
    let (mut pacer, mut now) = (ReportPacer::new(START), Instant::now());
    let second = Duration::from_secs(1);
    let idle = tell(&mut pacer, &mut now, second, false, |_| ms(0));
    assert_eq!(idle, 0);
    let burst = tell(&mut pacer, &mut now, second, true, |tick| ms(tick * 20));
    assert!((6..=7).contains(&burst), "{burst}");
    let steady = tell(&mut pacer, &mut now, second * 4, true, |_| ms(500));
    assert!((9..=11).contains(&steady), "{steady}");
    let ended = tell(&mut pacer, &mut now, second * 4, false, |_| ms(0));
    assert_eq!(ended, 1);
    // Many receivers take longer intervals.
    now += second;
    assert!(pacer.may_tell(now, 100, true));
    pacer.tell(now, true, &report(ms(0)));
    assert!(!pacer.may_tell(now + second, 100, true));
}
