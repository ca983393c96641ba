use super::*;

const ENDPOINT: &str = "e";

fn at_second(number: u64) -> BootTime {
    BootTime::after(Duration::from_secs(number))
}

fn backoff_seconds(number: u64) -> BackoffRequest {
    BackoffRequest::For(Duration::from_secs(number))
}

#[test]
fn an_endpoint_is_unavailable_until_its_backoff_ends() {
    let availability = EndpointAvailability::default();
    assert!(availability.is_available(at_second(1), ENDPOINT));
    let until = availability.back_off(at_second(1), ENDPOINT, backoff_seconds(3));
    assert_eq!(until, Some(at_second(4)));
    assert_eq!(
        availability.time_until_available(at_second(2), ENDPOINT),
        Duration::from_secs(2)
    );
    assert!(!availability.is_available(at_second(3), ENDPOINT));
    assert!(availability.is_available(at_second(4), ENDPOINT));
    assert!(availability.is_available(at_second(2), "another incarnation"));
    assert_eq!(availability.count_backoffs(at_second(3)), 1);
    assert_eq!(availability.count_backoffs(at_second(4)), 0);
}

/// Guards against a later refusal that ends an earlier back-off prematurely.
#[test]
fn a_shorter_backoff_does_not_replace_a_longer_one() {
    let availability = EndpointAvailability::default();
    availability.back_off(at_second(1), ENDPOINT, backoff_seconds(10));
    assert_eq!(
        availability.back_off(at_second(2), ENDPOINT, backoff_seconds(1)),
        None
    );
    assert!(!availability.is_available(at_second(10), ENDPOINT));
    let until = availability.back_off(at_second(3), ENDPOINT, backoff_seconds(10));
    assert_eq!(until, Some(at_second(13)));
}

/// Guards against endpoints that stay unavailable indefinitely, and against overflow.
#[test]
fn backoffs_are_capped_and_have_a_default() {
    let availability = EndpointAvailability::default();
    let endless = BackoffRequest::For(Duration::MAX);
    let until = availability.back_off(at_second(1), "endless", endless);
    assert_eq!(until, Some(at_second(1).plus(MAX_BACKOFF)));
    let unreadable = BackoffRequest::Unreadable;
    let until = availability.back_off(at_second(1), "unreadable", unreadable);
    assert_eq!(until, Some(at_second(1).plus(DEFAULT_BACKOFF)));
    let absent = BackoffRequest::Absent;
    assert_eq!(availability.back_off(at_second(1), "absent", absent), None);
}

/// Guards against requests to a leaving endpoint once its back-off has ended.
#[test]
fn a_leaving_endpoint_stays_unavailable_after_its_backoff() {
    let availability = EndpointAvailability::default();
    assert!(availability.mark_leaving(at_second(1), ENDPOINT));
    assert!(!availability.mark_leaving(at_second(2), ENDPOINT));
    availability.back_off(at_second(2), ENDPOINT, backoff_seconds(1));
    assert!(!availability.is_available(at_second(60), ENDPOINT));
    assert!(availability.is_available(at_second(60), "another incarnation"));
}
