use super::*;

#[test]
fn an_index_is_as_old_as_the_first_look_that_found_it() {
    let start = Instant::now();
    let minute = Duration::from_secs(60);
    let mut ages = IndexAges::default();
    assert_eq!(ages.older_than(start + minute, minute), 0);
    ages.look(start, 7);
    ages.look(start + minute, 9);
    assert_eq!(ages.older_than(start + minute, minute), 7);
    assert_eq!(ages.older_than(start + minute, minute * 2), 0);
    assert_eq!(ages.older_than(start + minute * 2, minute), 9);
}

/// A look that a long pause was without must not make what came since look old.
#[test]
fn looks_are_bounded_in_number() {
    let start = Instant::now();
    let mut ages = IndexAges::default();
    for minute in 0..1_000 {
        ages.look(start + Duration::from_secs(minute * 60), minute);
    }
    let now = start + Duration::from_secs(999 * 60);
    assert_eq!(ages.older_than(now, Duration::from_secs(3_600)), 939);
    assert_eq!(ages.looks.len(), MAX_LOOKS);
}
