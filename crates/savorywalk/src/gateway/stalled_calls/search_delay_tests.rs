use super::*;

/// Guards against searches that keep other entries busy while a call is stalled for long.
#[test]
fn delays_after_refusals_double_to_a_limit() {
    let mut delay = SearchDelay::default();
    let delays: Vec<Duration> = (0..6).map(|_| delay.after_refusal()).collect();
    assert!(delays.windows(2).all(|pair| pair[0] <= pair[1]));
    assert_eq!(delays.last(), Some(&MAX_DELAY));
}

/// Guards against two engines that work on one stream for longer than callers' operators allow.
#[test]
fn a_handover_ends_well_before_two_runs_count_as_one_too_many() {
    const MAX_OVERLAP: Duration = Duration::from_millis(400);
    assert!(HANDOVER_TIME * 2 <= MAX_OVERLAP);
}
