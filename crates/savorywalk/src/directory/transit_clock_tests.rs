use super::*;

#[test]
fn time_in_a_queue_shows_beyond_the_shortest_transit() {
    let now = Instant::now();
    let mut clock = TransitClock::new(now, 1, -50_000);
    assert_eq!(clock.excess(now, 1, -50_000), Duration::ZERO);
    assert_eq!(clock.excess(now, 1, -49_300), Duration::from_millis(700));
    assert_eq!(clock.excess(now, 1, -50_004), Duration::ZERO);
    assert_eq!(clock.excess(now, 1, -50_000), Duration::from_millis(4));
}

#[test]
fn a_sender_that_started_again_is_measured_anew_and_its_former_life_is_over() {
    let now = Instant::now();
    let mut clock = TransitClock::new(now, 1, -50_000);
    assert_eq!(clock.excess(now, 2, 9_000), Duration::ZERO);
    assert_eq!(clock.excess(now, 1, -50_000), Duration::MAX);
}

#[test]
fn clocks_that_drift_apart_are_followed() {
    let start = Instant::now();
    let mut clock = TransitClock::new(start, 1, 0);
    for second in 0..1_000 {
        let now = start + Duration::from_secs(second);
        // One millisecond of drift for every ten seconds.
        let excess = clock.excess(now, 1, second as i64 / 10);
        assert!(excess <= Duration::from_millis(13), "{excess:?}");
    }
}
