use super::*;

#[test]
fn a_storm_of_one_kind_gives_one_line_in_its_time_and_is_counted_whole() {
    let mut tally = FaultTally::default();
    let start = Instant::now();
    let lines: Vec<u64> = (0..25_000)
        .filter_map(|ms| tally.count(start + Duration::from_millis(ms), "state"))
        .collect();
    assert_eq!(lines, [1, 10_001, 20_001]);
}

#[test]
fn another_kind_is_told_at_once() {
    let mut tally = FaultTally::default();
    let now = Instant::now();
    assert_eq!(tally.count(now, "state"), Some(1));
    assert_eq!(tally.count(now, "address"), Some(1));
    assert_eq!(tally.count(now, "address"), None);
}
