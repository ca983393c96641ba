use super::*;
use crate::gateway::piece_queue::tests::{profile, task};

const LIGHT: u64 = 8_000;
const HEAVY: u64 = 3_000_000;

fn pieces(light: usize, heavy: usize) -> Vec<QueuedPiece> {
    let now = Instant::now();
    let piece = |result_bytes| {
        let mut task = task(now, "r", 0, 1_000);
        Arc::get_mut(&mut task).unwrap().result_bytes = result_bytes;
        QueuedPiece {
            task,
            piece: 0,
            queued: now,
            failures: 0,
            was_sent: false,
            needs_retry: false,
        }
    };
    let light = (0..light).map(|_| piece(LIGHT));
    light.chain((0..heavy).map(|_| piece(HEAVY))).collect()
}

/// Calls take 160 ms plus 3 or 12 ms per piece, while the profile says 150 ms plus 10 ms.
fn actual_duration(light: usize, heavy: usize) -> Duration {
    Duration::from_millis(160 + 3 * light as u64 + 12 * heavy as u64)
}

fn learned(calls: usize) -> PieceTimes {
    let mut times = PieceTimes::default();
    for call in 0..calls {
        let (light, heavy) = (call % 5, (call / 5) % 4);
        times.observe(
            &profile(),
            &pieces(light, heavy),
            actual_duration(light, heavy),
        );
    }
    times
}

fn forecast_error(times: &PieceTimes, light: usize, heavy: usize) -> Duration {
    let estimate = times.call(&profile(), &pieces(light, heavy));
    estimate.abs_diff(actual_duration(light, heavy))
}

#[test]
fn without_calls_the_estimate_follows_the_profile() {
    let estimate = PieceTimes::default().call(&profile(), &pieces(2, 1));
    assert_eq!(estimate, profile().call_duration(3));
}

/// With the profile's times alone, a pool that worked on both kinds looked full at three
/// quarters of its capacity.
#[test]
fn the_time_of_each_kind_is_learned() {
    let times = learned(400);
    for (light, heavy) in [(4, 0), (0, 4), (2, 2)] {
        assert!(forecast_error(&times, light, heavy) < Duration::from_millis(6));
    }
    let light = times.piece_work(&profile(), LIGHT);
    assert!(light < times.piece_work(&profile(), HEAVY));
}

#[test]
fn a_call_to_a_slow_endpoint_does_not_change_the_estimates() {
    let mut times = learned(400);
    let before = times.call(&profile(), &pieces(2, 2));
    times.observe(&profile(), &pieces(2, 2), actual_duration(2, 2) * 5);
    assert_eq!(times.call(&profile(), &pieces(2, 2)), before);
}
