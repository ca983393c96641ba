use rstest::rstest;

use super::*;
use crate::gateway::EndpointHead;

const ENDPOINT: &str = "e";

fn second(number: u64) -> BootTime {
    BootTime::after(Duration::from_secs(number))
}

fn per_second(rate: f64) -> AdvertisedRate {
    AdvertisedRate::PerSecond(rate)
}

/// An endpoint that advertised two requests per second at second 10.
fn limits() -> EndpointLimits {
    let limits = EndpointLimits::default();
    assert!(limits.observe(second(10), second(9), ENDPOINT, per_second(2.0)));
    limits
}

#[test]
fn the_most_recent_response_sets_the_rate() {
    let limits = limits();
    assert_eq!(limits.rate(ENDPOINT), Some(2.0));
    assert!(limits.observe(second(11), second(10), ENDPOINT, per_second(0.5)));
    assert_eq!(limits.rate(ENDPOINT), Some(0.5));
    assert_eq!(limits.rate("another incarnation"), None);
    assert_eq!(limits.count(), 1);
}

/// Guards against a late response that removes a limit advertised after it.
#[rstest]
#[case(9, Some(2.0))]
#[case(10, None)]
fn a_response_without_a_limit_removes_it_only_if_sent_after_it(
    #[case] sent: u64,
    #[case] rate: Option<f64>,
) {
    let limits = limits();
    let is_removed = limits.observe(second(12), second(sent), ENDPOINT, AdvertisedRate::Absent);
    assert_eq!(is_removed, rate.is_none());
    assert_eq!(limits.rate(ENDPOINT), rate);
}

#[test]
fn an_invalid_rate_leaves_the_limit_unchanged() {
    let limits = limits();
    assert!(!limits.observe(second(12), second(11), ENDPOINT, AdvertisedRate::Invalid));
    assert_eq!(limits.rate(ENDPOINT), Some(2.0));
}

#[test]
fn a_limit_from_another_entry_applies_if_it_is_newer() {
    let limits = limits();
    let age = Duration::from_secs;
    assert!(!limits.adopt(second(12), ENDPOINT, None, age(3)));
    assert_eq!(limits.rate(ENDPOINT), Some(2.0));
    assert!(limits.adopt(second(12), ENDPOINT, None, age(1)));
    assert_eq!(limits.rate(ENDPOINT), None);
    // Older than the removal above.
    assert!(!limits.adopt(second(13), ENDPOINT, Some(2.0), age(3)));
    assert_eq!(limits.rate(ENDPOINT), None);
}

/// Guards against notifying all entries on every response.
#[test]
fn only_significant_changes_are_reported() {
    let limits = limits();
    assert!(!limits.observe(second(11), second(10), ENDPOINT, per_second(2.1)));
    assert_eq!(limits.rate(ENDPOINT), Some(2.1));
    assert!(!limits.observe(second(11), second(10), "unlimited", AdvertisedRate::Absent));
    assert!(!limits.adopt(second(11), "unlimited", None, Duration::ZERO));
}

#[test]
fn unconfirmed_limits_are_dropped() {
    let limits = limits();
    let later = second(10).plus(RETENTION);
    limits.observe(later, later, "other", per_second(1.0));
    assert_eq!(limits.get(ENDPOINT), None);
}

fn rejection(rejection_limit: Option<f64>, rate: AdvertisedRate) -> EndpointHead {
    EndpointHead {
        not_run: true,
        rejection_limit,
        rate,
        ..Default::default()
    }
}

/// An endpoint with full queues that crashes under rejections gets few requests until it serves
/// one again.
#[test]
fn a_rejection_limits_an_endpoint_that_bears_few_until_it_serves_a_request() {
    let limits = EndpointLimits::default();
    let full = rejection(Some(4.0), AdvertisedRate::Absent).effective_rate();
    assert!(limits.observe(second(10), second(9), ENDPOINT, full));
    assert_eq!(limits.rate(ENDPOINT), Some(2.0));
    let served = EndpointHead {
        rejection_limit: Some(4.0),
        ..Default::default()
    };
    let served = served.effective_rate();
    assert!(!limits.observe(second(11), second(9), ENDPOINT, served));
    assert_eq!(
        limits.rate(ENDPOINT),
        Some(2.0),
        "sent before the rejection"
    );
    assert!(limits.observe(second(12), second(11), ENDPOINT, served));
    assert_eq!(limits.rate(ENDPOINT), None);
}

#[rstest]
#[case(rejection(None, AdvertisedRate::Absent), AdvertisedRate::Absent)]
#[case(rejection(Some(4.0), per_second(1.0)), per_second(1.0))]
#[case(rejection(Some(4.0), per_second(9.0)), per_second(2.0))]
#[case(rejection(Some(4.0), AdvertisedRate::Invalid), per_second(2.0))]
#[case(EndpointHead { inputs_gone: true, ..rejection(Some(4.0), AdvertisedRate::Absent) }, AdvertisedRate::Absent)]
fn the_lower_of_two_limits_counts_and_lost_inputs_are_no_rejection(
    #[case] head: EndpointHead,
    #[case] rate: AdvertisedRate,
) {
    assert_eq!(head.effective_rate(), rate);
}
