//! Guards against requests decided by an older document than the confirmed one.
//!
//! When an entry reconnects to control, the reply brings a newer document and confirms that
//! nothing newer is committed. The confirmation used to count immediately, but another task
//! parsed the document and put it in force later. Requests in between passed the freshness
//! check and were decided by the old document, so one with a key revoked in the meantime was
//! run. In the same way, an unknown route was refused permanently according to a document of
//! any age.
//!
//! On 84 VMs a request was handled by an older version for longer after the acknowledgement of
//! a newer one than the bound allows. It is not proved that this was the cause; see
//! docs/incidents/late-in-force.md. The tests use no sockets and no clock.

use hyper::Request;

use super::*;
use crate::gateway::plain_wire_tests::{KEY, node};
use crate::gateway::{GatewayRefusal, NotRunReason, request_admission};
use crate::registry::{BootClock, BootTime, FollowReply};

/// Returns a confirmed reply that contains a document.
fn document_reply(number: u64, content: &'static str) -> FollowReply {
    FollowReply {
        confirmed: true,
        document_number: number,
        document: Bytes::from_static(content.as_bytes()),
        ..Default::default()
    }
}

async fn wait_until_in_force(node: &GatewayNode) {
    let mut view_count = node.view_count.subscribe();
    while !node.has_table() {
        view_count.changed().await.unwrap();
    }
}

fn admit(node: &GatewayNode, path: &str, key: &str) -> Result<(), GatewayRefusal> {
    let request = Request::builder().uri(path).header(KEY, key).body(());
    let (parts, ()) = request.unwrap().into_parts();
    request_admission::admit(node, &node.aged_view(), &parts, Instant::now()).map(drop)
}

fn is_refused_as_stale(outcome: &Result<(), GatewayRefusal>) -> bool {
    matches!(
        outcome,
        Err(GatewayRefusal::NotRun {
            reason: NotRunReason::StaleKeys,
            ..
        })
    )
}

#[tokio::test]
async fn a_key_revoked_in_a_newer_document_is_rejected() {
    let node = node();
    node.follower
        .apply_reply(BootClock.now(), document_reply(1, "1 /p/ old"));
    wait_until_in_force(&node).await;
    assert!(admit(&node, "/p/x", "old").is_ok());
    // No other task runs between the reply and the following requests.
    node.follower
        .apply_reply(BootClock.now(), document_reply(2, "2 /p/ new"));
    let refusal = admit(&node, "/p/x", "old").unwrap_err();
    assert!(matches!(refusal, GatewayRefusal::BadKey), "{refusal:?}");
    assert!(admit(&node, "/p/x", "new").is_ok());
}

#[tokio::test]
async fn a_route_added_in_a_newer_document_is_found_immediately() {
    let node = node();
    node.follower
        .apply_reply(BootClock.now(), document_reply(1, "1 /p/ key"));
    wait_until_in_force(&node).await;
    node.follower
        .apply_reply(BootClock.now(), document_reply(2, "2 /q/ key"));
    assert!(admit(&node, "/q/x", "key").is_ok());
    let refusal = admit(&node, "/p/x", "key").unwrap_err();
    assert!(
        matches!(refusal, GatewayRefusal::UnknownRoute),
        "{refusal:?}"
    );
}

/// A request for a route added in the meantime must not be refused permanently.
#[tokio::test]
async fn an_entry_without_a_fresh_confirmation_reports_no_route_as_unknown() {
    let node = node();
    let long_ago = BootTime::default();
    node.follower
        .apply_reply(long_ago, document_reply(1, "1 /p/ key"));
    wait_until_in_force(&node).await;
    let known = admit(&node, "/p/x", "key");
    assert!(is_refused_as_stale(&known), "{known:?}");
    let unknown = admit(&node, "/q/x", "key");
    assert!(is_refused_as_stale(&unknown), "{unknown:?}");
}

/// A weight of 0 makes a document invalid; requests go on by the document before.
#[tokio::test]
async fn a_document_with_an_invalid_weight_leaves_the_one_before_in_force() {
    let node = node();
    let in_force = |number, content| {
        let reply = document_reply(number, content);
        node.follower.apply_reply(BootClock.now(), reply);
        let view = node.aged_view().view;
        let table = view.table.as_ref().unwrap();
        let weight = table.workspaces().next().unwrap().share.weight;
        (view.document(), weight)
    };
    assert_eq!(in_force(1, "1 /p/ key 2.5"), (1, 2.5));
    assert_eq!(in_force(2, "2 /p/ key 0"), (1, 2.5));
    assert_eq!(in_force(3, "3 /p/ key 4"), (3, 4.0));
}
