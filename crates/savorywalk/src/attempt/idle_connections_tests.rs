use super::*;

#[test]
fn the_connection_proven_last_is_taken_first() {
    let now = Instant::now();
    let mut idle = IdleConnections::default();
    idle.put(now, 1);
    idle.put(now, 2);
    assert_eq!(
        (idle.take(now), idle.take(now), idle.take(now)),
        (Some(2), Some(1), None)
    );
}

#[test]
fn old_connections_are_not_used() {
    let now = Instant::now();
    let mut idle = IdleConnections::default();
    idle.put(now, 1);
    assert_eq!(idle.take(now + MAX_IDLE), None);
}

#[test]
fn after_one_went_silent_older_ones_are_not_used() {
    let now = Instant::now();
    let mut idle = IdleConnections::default();
    idle.put(now, 1);
    let later = now + Duration::from_millis(1);
    idle.distrust(later);
    assert_eq!(idle.take(later), None);
    idle.put(later + Duration::from_millis(1), 2);
    assert_eq!(idle.take(later + Duration::from_millis(1)), Some(2));
}

#[test]
fn the_number_kept_is_bounded() {
    let now = Instant::now();
    let mut idle = IdleConnections::default();
    for number in 0..2 * MAX_KEPT {
        idle.put(now, number);
    }
    assert_eq!(idle.len(), MAX_KEPT);
    assert_eq!(idle.take(now), Some(2 * MAX_KEPT - 1));
}
