use super::*;

#[test]
fn a_count_is_at_most_a_third_off_and_never_above() {
    for running in 0..256 {
        let load = EndpointLoad { running, queued: 0 };
        let seen = LoadBucket::of(load).load().running;
        assert!(seen <= running, "{running} became {seen}");
        assert!(3 * seen >= 2 * running, "{running} became {seen}");
    }
}

#[test]
fn a_bucket_survives_its_byte_and_beyond_the_last_it_saturates() {
    let load = EndpointLoad {
        running: 7,
        queued: u32::MAX,
    };
    let bucket = LoadBucket::from_byte(LoadBucket::of(load).byte());
    assert_eq!((bucket.load().running, bucket.load().queued), (6, 192));
}
