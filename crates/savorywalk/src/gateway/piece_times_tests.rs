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
        }
    };
    let light = (0..light).map(|_| piece(LIGHT));
    light.chain((0..heavy).map(|_| piece(HEAVY))).collect()
}

/// Calls of 160 ms and 3 or 12 ms a piece, where the document says 150 and 10.
fn taken(light: usize, heavy: usize) -> Duration {
    Duration::from_millis(160 + 3 * light as u64 + 12 * heavy as u64)
}

fn learned(calls: usize) -> PieceTimes {
    let mut times = PieceTimes::default();
    for call in 0..calls {
        let (light, heavy) = (call % 5, (call / 5) % 4);
        times.observe(&profile(), &pieces(light, heavy), taken(light, heavy));
    }
    times
}

fn gap(times: &PieceTimes, light: usize, heavy: usize) -> Duration {
    let told = times.call(&profile(), &pieces(light, heavy));
    told.abs_diff(taken(light, heavy))
}

#[test]
fn the_profile_counts_until_calls_were_made() {
    let told = PieceTimes::default().call(&profile(), &pieces(2, 1));
    assert_eq!(told, profile().call_duration(3));
}

/// By the profile alone a pool that makes both kinds seemed
/// to be full at three quarters of what it can do.
#[test]
fn the_time_of_each_kind_is_learned() {
    let times = learned(400);
    for (light, heavy) in [(4, 0), (0, 4), (2, 2)] {
        assert!(gap(&times, light, heavy) < Duration::from_millis(6));
    }
    let light = times.piece_work(&profile(), LIGHT);
    assert!(light < times.piece_work(&profile(), HEAVY));
}

#[test]
fn a_slow_endpoint_does_not_spoil_what_is_known() {
    let mut times = learned(400);
    let before = times.call(&profile(), &pieces(2, 2));
    times.observe(&profile(), &pieces(2, 2), taken(2, 2) * 5);
    assert_eq!(times.call(&profile(), &pieces(2, 2)), before);
}
