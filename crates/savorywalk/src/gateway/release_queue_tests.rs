use super::*;
use crate::gateway::plain_wire_tests::node;
use crate::gateway::{AdvertisedRate, BackoffRequest, EndpointHead};

const POOL: &str = "p";

/// Guards against release requests that use up the permits of a rate-limited endpoint, or that
/// are sent during a back-off or to an endpoint that is leaving.
#[tokio::test]
async fn no_releases_at_endpoints_with_limit_or_backoff_or_leaving() {
    let node = node();
    let heads = [
        EndpointHead {
            rate: AdvertisedRate::PerSecond(100.0),
            ..Default::default()
        },
        EndpointHead {
            backoff: BackoffRequest::For(Duration::from_secs(60)),
            ..Default::default()
        },
        EndpointHead {
            is_leaving: true,
            ..Default::default()
        },
    ];
    for (number, head) in heads.iter().enumerate() {
        let endpoint = format!("e-{number}");
        assert!(node.may_release(&endpoint), "{head:?}");
        node.record_response_head(POOL, &endpoint, BootClock.now(), head);
        assert!(!node.may_release(&endpoint), "{head:?}");
    }
}
