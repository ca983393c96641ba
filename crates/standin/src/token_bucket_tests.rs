use super::*;

#[test]
fn takers_share_the_rate_beyond_the_burst() {
    let start = Instant::now();
    let mut bucket = TokenBucket::new(start, 1_000, 500);
    assert_eq!(bucket.take(start, 500), Duration::ZERO);
    assert_eq!(bucket.take(start, 1_000), Duration::from_secs(1));
    assert_eq!(bucket.take(start, 1_000), Duration::from_secs(2));
    let later = start + Duration::from_secs(60);
    assert_eq!(bucket.take(later, 500), Duration::ZERO, "the burst is back");
    assert_eq!(bucket.take(later, 1), Duration::from_millis(1));
}
