use tokio::net::TcpListener;
use tokio::sync::oneshot::error::TryRecvError;

use super::*;
use crate::gateway::TcpNetwork;
use crate::gateway::gateway_node::GatewayNode;
use crate::gateway::plain_wire_tests::node;
use crate::quarantine::RequestIdentity;
use crate::registry::{BootClock, FollowReply};

fn digest(number: u8) -> RequestDigest {
    RequestDigest::from_bytes(&[number; 16]).unwrap()
}

fn identity(number: u8) -> RequestIdentity {
    RequestIdentity::new(digest(number), std::iter::empty())
}

fn is_quarantined(node: &GatewayNode, number: u8) -> bool {
    node.quarantine_list().find(&identity(number)).is_some()
}

fn suspect(number: u8) -> CrashSuspect {
    CrashSuspect::Request(digest(number))
}

/// A reply of control with a quarantine list.
fn quarantine(revision: u64, numbers: &[u8]) -> FollowReply {
    FollowReply {
        quarantine_revision: revision,
        quarantined: numbers
            .iter()
            .map(|number| digest(*number).to_bytes())
            .collect(),
        ..Default::default()
    }
}

/// A call also fails when its connection is cut, at a limit on connections, or on an
/// invalid answer.
#[tokio::test]
async fn an_endpoint_that_accepts_connections_has_not_crashed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    assert_eq!(
        probe_endpoint(&TcpNetwork, address).await,
        EndpointProbe::Accepts
    );
    drop(listener);
    assert_eq!(
        probe_endpoint(&TcpNetwork, address).await,
        EndpointProbe::Refuses
    );
}

/// No other task runs between the update and the requests that wait.
#[tokio::test]
async fn a_request_is_refused_as_soon_as_its_entry_received_the_quarantine_list() {
    let node = node();
    assert!(!is_quarantined(&node, 1));
    node.follower
        .apply_reply(BootClock.now(), quarantine(1, &[1]));
    assert!(is_quarantined(&node, 1));
    assert!(!is_quarantined(&node, 2));
    node.follower
        .apply_reply(BootClock.now(), quarantine(2, &[]));
    assert!(!is_quarantined(&node, 1));
}

#[tokio::test]
async fn a_wait_for_quarantine_ends_when_the_request_is_quarantined() {
    let node = node();
    let waiter = tokio::spawn({
        let node = Arc::clone(&node);
        async move { node.until_quarantined(&identity(1)).await }
    });
    node.follower
        .apply_reply(BootClock.now(), quarantine(1, &[1]));
    waiter.await.unwrap();
}

/// A control daemon that lags must not release a request from quarantine, or put a released
/// one back.
#[tokio::test]
async fn an_older_list_changes_nothing() {
    let node = node();
    node.follower
        .apply_reply(BootClock.now(), quarantine(2, &[1]));
    node.follower
        .apply_reply(BootClock.now(), quarantine(1, &[2]));
    assert!(is_quarantined(&node, 1));
    assert!(!is_quarantined(&node, 2));
}

fn task() -> DetectorTask {
    let node = node();
    let meter = node.metric_set.meter();
    DetectorTask {
        follower: Arc::clone(&node.follower),
        network: Arc::new(TcpNetwork),
        crashes: meter.u64_counter("crashes").build(),
        last_reported: BTreeMap::new(),
        unreported: VecDeque::new(),
        retry_delay: FIRST_RETRY_DELAY,
    }
}

fn failed_call(address: SocketAddr, failure: CallFailure) -> FailedCall {
    FailedCall {
        endpoint: "e".into(),
        address: Some(address),
        failure,
        digest: digest(1),
        prompt: SuspectRequest::default(),
    }
}

/// A resend should not wait if no endpoint has crashed.
#[tokio::test]
async fn the_wait_ends_at_once_if_the_endpoint_has_not_crashed() {
    let mut task = task();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, receiver) = oneshot::channel();
    let event = DetectorEvent::Failed(failed_call(address, CallFailure::Cut), sender);
    let reports = task.evaluate(vec![event]).await;
    assert!(reports.is_empty());
    assert!(receiver.await.is_err());
}

/// A process that ended may also show as an answer that does not arrive.
#[tokio::test]
async fn an_endpoint_that_refuses_connections_has_crashed_after_a_cut_or_a_timeout() {
    let mut task = task();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    for failure in [CallFailure::Cut, CallFailure::TimedOut] {
        let (sender, mut receiver) = oneshot::channel();
        let event = DetectorEvent::Failed(failed_call(address, failure), sender);
        let reports = task.evaluate(vec![event]).await;
        assert_eq!(
            reports[0].command.crashes[0].digests,
            [digest(1).to_bytes()]
        );
        assert!(
            receiver
                .try_recv()
                .is_err_and(|error| error == TryRecvError::Empty)
        );
        drop(reports);
        assert!(receiver.await.is_err());
    }
}

/// Without control, a request that crashes endpoints is not stopped, so the reports on it
/// must count later.
#[tokio::test]
async fn undecided_reports_are_kept_up_to_a_bound() {
    let mut task = task();
    for number in 0..MAX_UNREPORTED as u64 + 10 {
        let command = QuarantineCommand {
            forget_through: number,
            ..Default::default()
        };
        task.enqueue(vec![CrashReport {
            command,
            waiters: Vec::new(),
        }]);
    }
    task.send_reports().await;
    assert_eq!(task.unreported.len(), MAX_UNREPORTED);
    assert_eq!(task.unreported[0].command.forget_through, 10);
    assert_eq!(task.retry_delay, FIRST_RETRY_DELAY * 2);
}

#[tokio::test]
async fn refusals_are_reported_once_per_interval() {
    let mut task = task();
    let start = Instant::now();
    assert!(task.is_refusal_due(start, suspect(1)));
    assert!(!task.is_refusal_due(start, suspect(1)));
    assert!(task.is_refusal_due(start, suspect(2)));
    assert!(task.is_refusal_due(start + REFUSED_INTERVAL, suspect(1)));
}

/// Control of an older version may not know the format of a report.
#[tokio::test]
async fn an_unreadable_report_does_not_block_those_behind_it() {
    let mut task = task();
    for number in 1..=2 {
        let command = QuarantineCommand {
            forget_through: number,
            ..Default::default()
        };
        task.enqueue(vec![CrashReport {
            command,
            waiters: Vec::new(),
        }]);
    }
    let undecided = ReportFailure::Undecided("no leader".into());
    assert!(!task.drop_unreadable(&undecided));
    assert_eq!(task.unreported.len(), 2);
    let unreadable = ReportFailure::Unreadable("too long".into());
    assert!(task.drop_unreadable(&unreadable));
    assert_eq!(task.unreported[0].command.forget_through, 2);
}

/// Parts that are watched at the send of a request count when it is answered, and each once.
#[tokio::test]
async fn answered_parts_are_reported_once_per_batch() {
    let mut task = task();
    let answered = AnsweredPrompt {
        parts: vec![1, 2],
        part_revision: 7,
    };
    let events = [(); 2].map(|()| DetectorEvent::PromptAnswered(answered.clone()));
    let reports = task.evaluate(events.into()).await;
    assert_eq!(reports.len(), 1);
    assert_eq!(reports[0].command.answered_prompts, vec![answered]);
}
