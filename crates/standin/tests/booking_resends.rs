//! A booking runs at most once, whatever its caller does; the stand-ins of the
//! dispatch application count what they ran.

mod deployment;

use std::sync::Arc;
use std::time::Duration;

use deployment::{TestDeployment, TestRequest, until};
use savorywalk_standin::EndpointFault;

const SLOWNESS: f64 = 40.0;

async fn deployment() -> TestDeployment {
    let mut deployment = TestDeployment::start().await;
    deployment.start_endpoints().await;
    deployment
}

#[tokio::test]
async fn a_resend_gets_the_kept_answer_and_runs_nothing() {
    let deployment = deployment().await;
    let booking = TestRequest::booking("tow-1", "Minibus at kilometre 61");
    let first = deployment.send(booking.clone()).await;
    assert_eq!(first.status, 200, "{first:?}");
    let second = deployment.send(booking).await;
    assert_eq!(second, first);
    assert_eq!(deployment.bookings(), 1);
}

#[tokio::test]
async fn resends_that_come_together_all_get_the_one_answer() {
    let deployment = deployment().await;
    let booking = TestRequest::booking("tow-1", "Minibus at kilometre 61");
    let sends = (0..8).map(|_| deployment.send(booking.clone()));
    let replies = futures::future::join_all(sends).await;
    assert_eq!(replies[0].status, 200, "{:?}", replies[0]);
    assert!(replies.iter().all(|reply| *reply == replies[0]));
    assert_eq!(deployment.bookings(), 1);
}

#[tokio::test]
async fn a_caller_who_leaves_does_not_stop_the_booking() {
    let deployment = Arc::new(deployment().await);
    for server in deployment.dispatch() {
        server.faults().set(EndpointFault::Slow(SLOWNESS));
    }
    let booking = TestRequest::booking("tow-1", "Minibus at kilometre 61");
    let caller = tokio::spawn({
        let (deployment, booking) = (Arc::clone(&deployment), booking.clone());
        async move { deployment.send(booking).await }
    });
    until(|| deployment.bookings_seen() == 1).await;
    caller.abort();
    assert!(caller.await.unwrap_err().is_cancelled());
    let resent = deployment.send(booking).await;
    assert_eq!(resent.status, 200, "{resent:?}");
    assert_eq!(deployment.bookings_seen(), 1);
    assert_eq!(deployment.bookings(), 1);
}

#[tokio::test]
async fn a_stop_waits_for_a_booking_whose_caller_left() {
    let deployment = Arc::new(deployment().await);
    for server in deployment.dispatch() {
        server.faults().set(EndpointFault::Slow(SLOWNESS));
    }
    let caller = tokio::spawn({
        let deployment = Arc::clone(&deployment);
        async move {
            deployment
                .send(TestRequest::booking("tow-1", "Km 61"))
                .await
        }
    });
    until(|| deployment.bookings_seen() == 1).await;
    caller.abort();
    assert!(caller.await.unwrap_err().is_cancelled());
    let deployment = Arc::into_inner(deployment).unwrap();
    let workers: Vec<_> = deployment.dispatch().cloned().collect();
    assert!(deployment.entry.stop().await);
    let ran: u64 = workers.iter().map(|it| it.counts().ran()).sum();
    assert_eq!(ran, 1);
}

#[tokio::test]
async fn the_same_key_for_another_request_is_a_conflict() {
    let deployment = deployment().await;
    deployment
        .send(TestRequest::booking("tow-1", "Km 61"))
        .await;
    let other = deployment
        .send(TestRequest::booking("tow-1", "Km 62"))
        .await;
    assert_eq!(other.status, 409);
    assert_eq!(other.body["error"]["kind"], "idempotency_conflict");
    let mut elsewhere = TestRequest::booking("tow-1", "Km 62");
    elsewhere.token = savorywalk_standin::token_for("mojo-branch");
    assert_eq!(deployment.send(elsewhere).await.status, 200);
    assert_eq!(deployment.bookings(), 2);
}

#[tokio::test]
async fn a_booking_that_was_not_run_can_be_sent_again() {
    let mut deployment = TestDeployment::start().await;
    let booking = TestRequest::booking("tow-1", "Minibus at kilometre 61");
    let refused = deployment.send(booking.clone()).await;
    assert_eq!(refused.body["error"]["kind"], "not_run");
    deployment.start_endpoints().await;
    let second = deployment.send(booking).await;
    assert_eq!(second.status, 200, "{second:?}");
    assert_eq!(deployment.bookings(), 1);
}

#[tokio::test]
async fn a_booking_that_failed_before_its_stage_can_be_sent_again() {
    let deployment = deployment().await;
    let engine = &deployment.services[0];
    assert_eq!(engine.options().pool, "engines");
    engine.faults().set(EndpointFault::Fail);
    let booking = TestRequest::booking("tow-1", "Minibus at kilometre 61");
    let failed = deployment.send(booking.clone()).await;
    assert_eq!(failed.body["error"]["kind"], "stage_failed");
    engine.faults().set(EndpointFault::None);
    let marked = booking.clone().header("savorywalk-idempotent", "false");
    let second = deployment.send(booking).await;
    assert_eq!(second.status, 200, "{second:?}");
    assert_eq!(deployment.send(marked).await, second);
    assert_eq!(deployment.bookings(), 1);
}

#[tokio::test]
async fn a_failed_request_that_is_marked_as_a_whole_is_not_run_again() {
    let deployment = deployment().await;
    let engine = &deployment.services[0];
    engine.faults().set(EndpointFault::Fail);
    let booking = TestRequest::booking("tow-1", "Minibus at kilometre 61");
    let booking = booking.header("savorywalk-idempotent", "false");
    let failed = deployment.send(booking.clone()).await;
    engine.faults().set(EndpointFault::None);
    assert_eq!(deployment.send(booking).await, failed);
    assert_eq!(deployment.bookings(), 0);
}

#[tokio::test]
async fn an_unknown_outcome_is_kept_and_the_booking_not_run_again() {
    let deployment = deployment().await;
    for server in deployment.dispatch() {
        server.faults().set(EndpointFault::Cut);
    }
    let booking = TestRequest::booking("tow-1", "Minibus at kilometre 61");
    let first = deployment.send(booking.clone()).await;
    assert_eq!(first.body["error"]["kind"], "outcome_unknown");
    for server in deployment.dispatch() {
        server.faults().set(EndpointFault::None);
    }
    assert_eq!(deployment.send(booking).await, first);
    assert_eq!(deployment.bookings(), 1);
}

#[tokio::test]
async fn a_resend_past_its_deadline_is_told_that_the_first_still_runs() {
    let deployment = Arc::new(deployment().await);
    for server in deployment.dispatch() {
        server.faults().set(EndpointFault::Silent);
    }
    let booking = TestRequest::booking("tow-1", "Minibus at kilometre 61");
    let caller = tokio::spawn({
        let (deployment, booking) = (Arc::clone(&deployment), booking.clone());
        async move { deployment.send(booking).await }
    });
    until(|| deployment.bookings_seen() == 1).await;
    let hurried = booking.header("savorywalk-deadline-ms", "50");
    let resent = deployment.send(hurried).await;
    assert_eq!(resent.status, 504);
    assert_eq!(resent.body["error"]["kind"], "deadline_exceeded");
    assert_eq!(deployment.bookings_seen(), 1);
    caller.abort();
}

#[tokio::test]
async fn a_streamed_booking_gives_its_whole_answer_as_one_event() {
    let deployment = deployment().await;
    let booking = TestRequest::booking("tow-1", "Minibus at kilometre 61");
    let streamed = booking.clone().header("accept", "text/event-stream");
    let first = deployment.send(streamed.clone()).await;
    let text = first.body.as_str().unwrap();
    assert!(text.starts_with("event: answer\ndata: {"), "{text}");
    assert_eq!(deployment.send(streamed).await, first);
    let plain = deployment.send(booking).await;
    assert!(text.contains(plain.body["request_id"].as_str().unwrap()));
    assert_eq!(deployment.bookings(), 1);
}

#[tokio::test]
async fn without_a_key_each_request_runs_by_itself() {
    let deployment = deployment().await;
    let mut booking = TestRequest::booking("", "Minibus at kilometre 61");
    booking.headers.clear();
    deployment.send(booking.clone()).await;
    deployment.send(booking).await;
    assert_eq!(deployment.bookings(), 2);
    let long = TestRequest::booking(&"k".repeat(257), "Km 61");
    let timeout = Duration::from_secs(60);
    let refused = tokio::time::timeout(timeout, deployment.send(long)).await;
    assert_eq!(refused.unwrap().status, 400);
}
