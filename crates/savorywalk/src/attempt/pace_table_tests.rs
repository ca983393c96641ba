use rstest::rstest;

use super::*;

const DEADLINE: Duration = Duration::from_secs(7);

#[rstest]
#[case(0, 0)]
#[case(1_023, 0)]
#[case(1_024, 1)]
#[case(4_095, 1)]
#[case(4_096, 2)]
#[case(16_384, 3)]
#[case(1 << 30, 6)]
fn longer_bodies_are_learnt_apart(#[case] bytes: usize, #[case] class: u8) {
    assert_eq!(PaceKey::new("engines", "", bytes).class, class);
}

#[test]
fn limits_are_learnt_with_a_floor_and_leave_time_for_another() {
    let table = PaceTable::default();
    let key = PaceKey::new("engines", "model-a", 100);
    let unlearnt = table.limits(&key, DEADLINE);
    assert_eq!(unlearnt.first, DEADLINE / 2);
    assert_eq!(table.hedge_delay(&key), None);
    for _ in 0..100 {
        let gap = Duration::from_millis(500);
        table.record(&key, Duration::from_millis(20), Some(gap));
    }
    let learnt = table.limits(&key, DEADLINE);
    assert_eq!(learnt.first, MIN_STALL);
    assert!(learnt.between >= Duration::from_secs(2));
    assert!(learnt.between < Duration::from_millis(2_500));
    let short = table.limits(&key, Duration::from_millis(100));
    assert_eq!(short.first, Duration::from_millis(50));
    let delay = table.hedge_delay(&key).unwrap();
    assert!(delay >= Duration::from_millis(20) && delay < Duration::from_millis(25));
}
