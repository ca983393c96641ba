use super::*;

#[test]
fn many_faults_of_one_kind_give_one_line_per_interval_with_their_total() {
    let mut tally = FaultCounter::default();
    let start = Instant::now();
    let lines: Vec<u64> = (0..25_000)
        .filter_map(|ms| tally.count(start + Duration::from_millis(ms), "state"))
        .collect();
    assert_eq!(lines, [1, 10_001, 20_001]);
}

#[test]
fn the_first_fault_of_another_kind_is_logged_at_once() {
    let mut tally = FaultCounter::default();
    let now = Instant::now();
    assert_eq!(tally.count(now, "state"), Some(1));
    assert_eq!(tally.count(now, "address"), Some(1));
    assert_eq!(tally.count(now, "address"), None);
}
