use super::*;

fn usage(workspace: u32, endpoint_micros: u64) -> WorkspaceUsage {
    WorkspaceUsage {
        pool: 7,
        workspace,
        endpoint_micros,
    }
}

#[test]
fn usage_adds_up_and_halves_with_time() {
    let start = Instant::now();
    let mut book = UsageBook::default();
    book.add(start, &usage(1, 4_000_000));
    let later = start + HALF_LIFE;
    book.add(later, &usage(1, 1_000_000));
    assert_eq!(book.remote(later, 7, 1).as_millis(), 3_000);
    assert_eq!(book.remote(later, 7, 2), Duration::ZERO);
    assert_eq!(book.remote(later, 8, 1), Duration::ZERO);
}

#[test]
fn the_book_is_bounded_and_makes_room_by_forgetting() {
    let start = Instant::now();
    let mut book = UsageBook::default();
    for workspace in 0..MAX_PAIRS as u32 + 10 {
        book.add(start, &usage(workspace, 2_000));
    }
    assert_eq!(book.pairs.len(), MAX_PAIRS);
    let later = start + 10 * HALF_LIFE;
    book.add(later, &usage(u32::MAX, 2_000));
    assert_eq!(book.pairs.len(), 1);
}
