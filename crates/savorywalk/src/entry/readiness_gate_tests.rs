use super::*;

const WARM_UP: Duration = Duration::from_millis(1_200);

fn is_warm(age_ms: u64, pools_served: bool, directory_synced: bool) -> bool {
    let started = Instant::now();
    let gate = ReadinessGate::new(started, WARM_UP);
    let view = ReadinessView {
        pools_served,
        directory_synced,
    };
    gate.is_warm(started + Duration::from_millis(age_ms), view)
}

#[test]
fn a_started_entry_waits_for_announcements() {
    assert!(!is_warm(0, true, false));
    assert!(!is_warm(1_199, true, false));
    assert!(is_warm(1_200, true, false));
}

#[test]
fn a_synced_directory_saves_the_wait() {
    assert!(is_warm(0, true, true));
    assert!(!is_warm(0, false, true));
}

#[test]
fn a_missing_pool_does_not_hold_an_entry_back_for_ever() {
    assert!(!is_warm(1_999, false, false));
    assert!(is_warm(2_000, false, false));
}

#[test]
fn no_warm_up_is_ready_at_once() {
    let started = Instant::now();
    let view = ReadinessView {
        pools_served: false,
        directory_synced: false,
    };
    assert!(ReadinessGate::new(started, Duration::ZERO).is_warm(started, view));
}
