use std::net::SocketAddrV4;
use std::sync::mpsc as sync_mpsc;

use super::*;
use crate::gateway::plain_wire_tests::{PlainWire, node_over};
use crate::gateway::prompt_exchange::PLACE_TIMEOUT;
use crate::gateway::request_context::RequestContext;
use crate::gateway::{CallerHead, WireFormat};
use crate::generated::work::{PlanCall, PlannedStage};
use crate::registry::{BootClock, FollowReply};
use crate::transport::{LinkError, LinkOptions, LinkTiming};

/// Far longer than anything here takes, for machines that run other builds.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Suspension for longer than the idle timeout of links between entries.
const SUSPENSION: Duration = Duration::from_secs(2);

/// What a coordinator does with its calls.
#[derive(Clone, Copy, Debug)]
enum CallService {
    /// It answers all but those to place a prompt.
    ProbesOnly,
    /// It answers none, although its links go on.
    Nothing,
    /// It makes plans, and is suspended for a while during each.
    SuspendedPlans,
}

/// A coordinator on a thread of its own, which can be suspended.
struct TestCoordinator {
    name: PeerName,
    address: SocketAddr,
    suspensions: sync_mpsc::Sender<Duration>,
}

impl TestCoordinator {
    fn start(last: u8, service: CallService) -> Self {
        let (sender, started) = sync_mpsc::channel();
        let (suspensions, suspended) = sync_mpsc::channel();
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            runtime.unwrap().block_on(async move {
                let address = SocketAddrV4::new([127, 0, 8, last].into(), 0);
                let hub = LinkHub::start(LinkOptions::occasional(address, 1_000_000)).unwrap();
                let calls = hub.serve(LinkChannel::Work);
                tokio::spawn(serve_some(calls, service));
                sender
                    .send((hub.name().clone(), hub.address().unwrap()))
                    .unwrap();
                loop {
                    match suspended.try_recv() {
                        Ok(duration) => std::thread::sleep(duration),
                        Err(sync_mpsc::TryRecvError::Empty) => {}
                        Err(sync_mpsc::TryRecvError::Disconnected) => return,
                    }
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
            });
        });
        let (name, address) = started.recv().unwrap();
        Self {
            name,
            address,
            suspensions,
        }
    }

    /// Suspends all that it does, its links included, and waits until that has begun.
    fn suspend(&self, duration: Duration) {
        self.suspensions.send(duration).unwrap();
        std::thread::sleep(Duration::from_millis(30));
    }
}

async fn serve_some(mut calls: mpsc::Receiver<InboundCall>, service: CallService) {
    let mut unanswered = Vec::new();
    while let Some(call) = calls.recv().await {
        let is_probe = call.payload.is_empty();
        match service {
            CallService::SuspendedPlans => {
                // Nothing else of this thread goes on meanwhile.
                std::thread::sleep(SUSPENSION);
                let mut reply = PlanReply {
                    handles: vec!["made".into()],
                    ..Default::default()
                };
                reply.set_end(PlanEnd::Made);
                call.reply.answer(reply.encode_to_vec().into());
            }
            CallService::ProbesOnly if is_probe => drop(call.reply.answer(Bytes::new())),
            CallService::ProbesOnly | CallService::Nothing => unanswered.push(call),
        }
    }
}

/// Returns an entry for which `coordinator` does all work, with a link to it.
async fn entry_of(coordinator: &TestCoordinator) -> Arc<GatewayNode> {
    let address = SocketAddrV4::new([127, 0, 8, 3].into(), 0);
    let hub = LinkHub::start(LinkOptions::occasional(address, 1_000_000));
    let node = node_over(hub.unwrap());
    let hub = &node.exchange.hub;
    hub.addresses()
        .set(coordinator.name.clone(), coordinator.address);
    let document = FollowReply {
        confirmed: true,
        document_number: 1,
        document: Bytes::from_static(b"1 /p/ key"),
        ..Default::default()
    };
    node.follower.apply_reply(BootClock.now(), document);
    while !node.has_table() {
        tokio::task::yield_now().await;
    }
    node.view.store(Arc::new(GatewayView {
        entries: [coordinator.name.clone()].into(),
        ranks: Arc::default(),
        ..GatewayView::clone(&node.view.load())
    }));
    let name = coordinator.name.as_str();
    // It may be refused or not be answered; the link is open then.
    let opened = hub.call(name, LinkChannel::Control, Bytes::new(), WAIT_TIMEOUT);
    let opened = opened.await;
    assert!(
        matches!(opened, Err(LinkError::Refused { .. })),
        "{opened:?}"
    );
    node
}

fn context() -> RequestContext {
    let table = PlainWire.read_document(b"1 /p/ key").unwrap();
    let now = Instant::now();
    RequestContext {
        id: "1".into(),
        head: CallerHead::default(),
        route: Arc::clone(table.find("h", "/p/x").unwrap()),
        pool: "p".into(),
        workspace: None,
        caller: String::new(),
        rank: 0,
        turn_rank: 0,
        due: now + Duration::from_secs(2),
        deadline: now + Duration::from_secs(15),
        data_center_filter: Default::default(),
        is_returning: false,
    }
}

fn plan() -> PlanRequest {
    let call = PlanCall {
        request_id: "1".into(),
        stages: vec![PlannedStage {
            pool: "stage".into(),
            result_bytes: 1_000,
            pieces: 1,
            ..Default::default()
        }],
        due_ms: 5_000,
        deadline_ms: 10_000,
        ..Default::default()
    };
    let (_, request) = PlanRequest::from_call(Instant::now(), call).unwrap();
    request
}

/// Has a prompt placed, which the coordinator does not do in time.
async fn place(node: &Arc<GatewayNode>) {
    let context = context();
    let placed = node.exchange.place(node, &context, Vec::new(), None);
    assert!(placed.await.is_none());
}

/// Returns the time until the coordinator is avoided, or no more.
async fn time_until(node: &GatewayNode, coordinator: &TestCoordinator, avoided: bool) -> Duration {
    let start = Instant::now();
    let changed = async {
        while node.exchange.is_avoided(&coordinator.name) != avoided {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    let changed = tokio::time::timeout(WAIT_TIMEOUT, changed);
    changed.await.expect("it changes");
    start.elapsed()
}

/// Guards against a coordinator from which plans and permits are taken away because one placement
/// was late, although its link and its other answers go on.
#[tokio::test]
async fn a_coordinator_with_a_late_placement_keeps_its_other_work() {
    let coordinator = TestCoordinator::start(11, CallService::ProbesOnly);
    let node = entry_of(&coordinator).await;
    for _ in 0..3 {
        place(&node).await;
        assert!(!node.exchange.is_avoided(&coordinator.name));
        tokio::time::sleep(PLACE_TIMEOUT).await;
        assert!(!node.exchange.is_avoided(&coordinator.name));
    }
    let view = node.view.load_full();
    let shard = WorkShard::default();
    let chosen = node.exchange.coordinator(&view, WorkKind::Stages, &shard);
    assert_eq!(chosen, Some(coordinator.name));
}

/// Guards against a lost coordinator that is left later than after one unanswered placement.
#[tokio::test]
async fn a_coordinator_that_acknowledges_nothing_is_avoided_at_once() {
    let coordinator = TestCoordinator::start(12, CallService::ProbesOnly);
    let node = entry_of(&coordinator).await;
    coordinator.suspend(Duration::from_secs(2));
    let start = Instant::now();
    place(&node).await;
    let took = start.elapsed();
    assert!(
        node.exchange.is_avoided(&coordinator.name),
        "after {took:?}"
    );
    time_until(&node, &coordinator, false).await;
    let back = start.elapsed();
    assert!(back >= Duration::from_millis(1_500), "after {back:?}");
    println!("avoided after {took:?}, back after {back:?}");
}

/// Guards against a coordinator that answers nothing and is used on because its link goes on.
#[tokio::test]
async fn a_coordinator_that_answers_no_probe_is_avoided() {
    let coordinator = TestCoordinator::start(13, CallService::Nothing);
    let node = entry_of(&coordinator).await;
    let start = Instant::now();
    place(&node).await;
    time_until(&node, &coordinator, true).await;
    println!("avoided after {:?}", start.elapsed());
}

/// Guards against a plan whose coordinator was suspended for longer than a link's idle timeout, and
/// which is given up there before it has been made elsewhere.
#[tokio::test]
async fn a_plan_outlasts_the_suspension_of_its_coordinator() {
    let coordinator = TestCoordinator::start(14, CallService::SuspendedPlans);
    let node = entry_of(&coordinator).await;
    let request = plan();
    let start = Instant::now();
    let outcome = node.exchange.execute_plan(&node, request).await;
    let took = start.elapsed();
    let mut results = outcome.unwrap_or_else(|failure| panic!("{failure:?} after {took:?}"));
    assert_eq!(results.take(), [ResultHandle("made".into())]);
}

/// Guards against a plan that waits for a lost coordinator for longer than its link is silent.
#[tokio::test]
async fn a_plan_leaves_a_lost_coordinator_when_its_link_is_silent() {
    let coordinator = TestCoordinator::start(15, CallService::ProbesOnly);
    let node = entry_of(&coordinator).await;
    coordinator.suspend(SUSPENSION * 3);
    tokio::select! {
        outcome = node.exchange.execute_plan(&node, plan()) => panic!("{outcome:?}"),
        took = time_until(&node, &coordinator, true) => {
            println!("left after {took:?}");
            assert!(took < LinkTiming::occasional().idle_timeout * 2, "{took:?}");
        }
    }
}
