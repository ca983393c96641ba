//! Crowds of clients that keep to no limits, on each port that others reach.
//!
//! Each test runs alone. It checks that the process lives, that its memory and descriptors stay within
//! those of its VM, and that one ordinary request is answered afterwards. See
//! docs/incidents/unruly-clients.md.

#![allow(clippy::unwrap_used, reason = "test code: a failure should panic")]

mod support;

use std::net::SocketAddr;
use std::path::PathBuf;

use savorywalk_proof::{
    ClientCrowd, CrowdKind, CrowdPlan, CrowdReport, CrowdRequest, CrowdSoakPlan, CrowdTarget,
    ProcessUsage, run_crowd, run_crowd_soak,
};
use support::held_engine::HeldEngine;
use support::http_call::ListenerKind;
use support::serve_test::ServeTest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Mutex;

/// Memory of a VM that the settings do not name, in bytes.
const VM_MEMORY: u64 = 256 << 20;

/// Memory of a small VM, in bytes, and the settings that name it.
const SMALL_VM_MEMORY: u64 = 120 << 20;
const SMALL_VM: &str = "memory_mb = 120\ndescriptors = 3075\n";

/// Descriptors of a process that has few, and the settings that name them.
const FEW_DESCRIPTORS: usize = 400;
const FEW_DESCRIPTORS_SETTING: &str = "descriptors = 400\n";

/// Descriptors of a VM, without those that it reserves for other files.
const VM_DESCRIPTORS: usize = 4_096 - 200;

/// Largest body of a caller that the document allows, in bytes.
const BODY_BYTES: usize = 4 << 20;

/// Largest body of a call at a registry, in bytes.
const CALL_BYTES: usize = 8 << 20;

/// Largest body at an entry with the usual settings, in bytes.
const ENTRY_BODY_BYTES: usize = 1 << 20;

/// Serialises the tests: each fills the memory that another one measures.
static ALONE: Mutex<()> = Mutex::const_new(());

/// One crowd of `clients`, with the settings of an ordinary VM.
fn plan(target: CrowdTarget, kind: CrowdKind, clients: usize) -> CrowdPlan {
    CrowdPlan {
        program: PathBuf::from(env!("CARGO_BIN_EXE_savorywalk")),
        folder: PathBuf::new(),
        target,
        kind,
        clients,
        crowds: 1,
        beside: Vec::new(),
        limits: "",
    }
}

async fn play(target: CrowdTarget, kind: CrowdKind, clients: usize, crowds: usize) -> CrowdReport {
    play_plan(CrowdPlan {
        crowds,
        ..plan(target, kind, clients)
    })
    .await
}

async fn play_plan(plan: CrowdPlan) -> CrowdReport {
    let _alone = ALONE.lock().await;
    savorywalk::telemetry::init_logging("error");
    let folder = tempfile::tempdir().unwrap();
    let plan = CrowdPlan {
        folder: folder.path().to_path_buf(),
        ..plan
    };
    run_crowd(&plan).await.unwrap()
}

/// Plays a crowd against daemons with few places for connections.
async fn play_with_few_places(kind: CrowdKind) -> CrowdReport {
    play_plan(CrowdPlan {
        limits: "connections = 64\n",
        ..plan(CrowdTarget::Callers, kind, 300)
    })
    .await
}

#[track_caller]
fn assert_within_vm(usage: Option<ProcessUsage>) {
    let usage = usage.expect("the process has ended");
    assert!(usage.peak_memory < VM_MEMORY, "{usage:?}");
    assert!(usage.descriptors < VM_DESCRIPTORS, "{usage:?}");
}

#[track_caller]
fn assert_held(report: &CrowdReport) {
    assert_within_vm(report.usage);
    assert_eq!(report.status_after, 200, "{report:?}");
    assert!(report.accepts_document, "{report:?}");
    assert!(report.holds_nothing, "{report:?}");
}

/// An ordinary request was answered while the crowd was connected, and before any of its bodies was late.
#[track_caller]
fn assert_answered_beside(report: &CrowdReport) {
    assert!(report.beside.open > 0, "{report:?}");
    assert_eq!(report.beside.late, 0.0, "{report:?}");
}

/// Guards against bodies that are bounded each and not in sum.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_bodies_at_a_gateway_stay_within_its_memory() {
    let kind = CrowdKind::UnfinishedBody(BODY_BYTES);
    assert_held(&play(CrowdTarget::Callers, kind, 120, 1).await);
}

/// Guards against chunked bodies, whose length nobody announces, that are not bounded in sum.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_chunks_at_a_gateway_stay_within_its_memory() {
    let kind = CrowdKind::UnfinishedChunk(BODY_BYTES);
    assert_held(&play(CrowdTarget::Callers, kind, 120, 1).await);
}

/// Guards against bodies that are read although the length that they announce is far over the limit.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_announced_far_over_the_limit_stay_within_memory() {
    let kind = CrowdKind::BodyStart {
        sent: 5 * BODY_BYTES,
        length: 1_000 * BODY_BYTES,
    };
    assert_held(&play(CrowdTarget::Callers, kind, 60, 1).await);
}

/// Guards against chunks that are read on once a body is over the limit.
#[tokio::test(flavor = "multi_thread")]
async fn chunks_far_over_the_limit_stay_within_memory() {
    let kind = CrowdKind::UnfinishedChunk(5 * BODY_BYTES);
    assert_held(&play(CrowdTarget::Callers, kind, 60, 1).await);
}

/// Guards against whole bodies that wait for endpoints and are not bounded in sum.
#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_at_a_gateway_stay_within_its_memory() {
    let kind = CrowdKind::WholeBody(BODY_BYTES);
    assert_held(&play(CrowdTarget::Callers, kind, 120, 1).await);
}

/// Guards against memory that is not given back, so that it grows with each crowd.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_one_crowd_after_the_other_stay_within_memory() {
    let kind = CrowdKind::UnfinishedBody(BODY_BYTES);
    assert_held(&play(CrowdTarget::Callers, kind, 60, 5).await);
}

/// Guards against one small request whose head asks for more pieces than the memory holds.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_for_millions_of_pieces_stays_within_memory() {
    assert_held(&play(CrowdTarget::Pieces, CrowdKind::WholeBody(1), 1, 1).await);
}

/// Guards against streams of one connection that each hold a body and a window.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_streams_of_http_2_at_a_gateway_stay_within_its_memory() {
    let kind = CrowdKind::UnfinishedStreams {
        streams: 100,
        bytes: BODY_BYTES,
    };
    assert_held(&play(CrowdTarget::Callers, kind, 4, 1).await);
}

/// Guards against read buffers that grow with what a connection sends, on thousands of connections.
#[tokio::test(flavor = "multi_thread")]
async fn starts_of_bodies_on_many_connections_stay_within_memory() {
    let kind = CrowdKind::BodyStart {
        sent: 120 << 10,
        length: BODY_BYTES,
    };
    assert_held(&play(CrowdTarget::Callers, kind, 2_600, 1).await);
}

/// Guards against heads far over the limit that are kept until they end.
#[tokio::test(flavor = "multi_thread")]
async fn heads_without_end_on_many_connections_stay_within_memory() {
    let kind = CrowdKind::EndlessHead(120 << 10);
    assert_held(&play(CrowdTarget::Callers, kind, 2_600, 1).await);
}

/// Guards against heads without end at the port for probes, which answers no callers.
#[tokio::test(flavor = "multi_thread")]
async fn heads_without_end_at_probes_stay_within_memory() {
    let kind = CrowdKind::EndlessHead(120 << 10);
    assert_held(&play(CrowdTarget::Probes, kind, 2_600, 1).await);
}

/// Guards against silent connections that take all places, so that nobody else is answered.
#[tokio::test(flavor = "multi_thread")]
async fn an_ordinary_request_is_answered_beside_silent_connections() {
    let report = play(CrowdTarget::Callers, CrowdKind::Silence, 3_300, 1).await;
    assert_held(&report);
    assert_eq!(report.status_beside, 200, "{report:?}");
}

/// Guards against heads that stop midway and take all places.
#[tokio::test(flavor = "multi_thread")]
async fn an_ordinary_request_is_answered_beside_unfinished_heads() {
    let report = play(CrowdTarget::Callers, CrowdKind::EndlessHead(200), 3_300, 1).await;
    assert_held(&report);
    assert_eq!(report.status_beside, 200, "{report:?}");
}

/// Guards against small bodies that stop midway and take all places.
#[tokio::test(flavor = "multi_thread")]
async fn an_ordinary_request_is_answered_beside_unfinished_small_bodies() {
    let kind = CrowdKind::UnfinishedBody(2_000);
    let report = play_with_few_places(kind).await;
    assert_held(&report);
    assert_answered_beside(&report);
}

/// Guards against small chunked bodies that stop midway and take all places.
#[tokio::test(flavor = "multi_thread")]
async fn an_ordinary_request_is_answered_beside_unfinished_small_chunks() {
    let kind = CrowdKind::UnfinishedChunk(2_000);
    let report = play_with_few_places(kind).await;
    assert_held(&report);
    assert_answered_beside(&report);
}

/// Guards against requests that are kept while answers to earlier ones are unread.
#[tokio::test(flavor = "multi_thread")]
async fn requests_sent_ahead_of_answers_stay_within_memory() {
    let kind = CrowdKind::SentAhead {
        requests: 20,
        bytes: 64 << 10,
    };
    assert_held(&play(CrowdTarget::Callers, kind, 100, 1).await);
}

/// Guards against bounds that each fit a small VM and together do not.
#[tokio::test(flavor = "multi_thread")]
async fn crowds_of_all_kinds_at_once_stay_within_the_memory_of_a_small_vm() {
    let kind = CrowdKind::UnfinishedBody(BODY_BYTES);
    let report = play_plan(CrowdPlan {
        beside: vec![
            (CrowdKind::EndlessHead(120 << 10), 600),
            (CrowdKind::UnfinishedChunk(60_000), 600),
            (CrowdKind::Silence, 1_200),
        ],
        limits: SMALL_VM,
        ..plan(CrowdTarget::Callers, kind, 60)
    })
    .await;
    assert_held(&report);
    let peak_memory = report.usage.map(|usage| usage.peak_memory);
    assert!(peak_memory < Some(SMALL_VM_MEMORY), "{report:?}");
}

/// Guards against calls at a registry that are bounded each and not in sum.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_calls_at_a_registry_stay_within_its_memory() {
    let kind = CrowdKind::UnfinishedBody(CALL_BYTES);
    assert_held(&play(CrowdTarget::Registry, kind, 60, 1).await);
}

/// Guards against announcements whose texts are kept whatever their size.
#[tokio::test(flavor = "multi_thread")]
async fn announcements_with_long_texts_stay_within_memory_of_a_registry() {
    let kind = CrowdKind::Announcement(120 << 10);
    assert_held(&play(CrowdTarget::Announcements, kind, 3_000, 1).await);
}

/// Guards against whole documents that are parsed at the same time, at several times their size.
#[tokio::test(flavor = "multi_thread")]
async fn whole_calls_at_a_registry_stay_within_its_memory() {
    let kind = CrowdKind::WholeBody(CALL_BYTES);
    assert_held(&play(CrowdTarget::Registry, kind, 60, 1).await);
}

/// Guards against documents whose parsed form takes many times their size.
#[tokio::test(flavor = "multi_thread")]
async fn documents_of_many_small_texts_stay_within_memory_of_a_registry() {
    let kind = CrowdKind::ManyTexts(CALL_BYTES - 1_000);
    assert_held(&play(CrowdTarget::Registry, kind, 60, 3).await);
}

/// Guards against heads without end at a registry.
#[tokio::test(flavor = "multi_thread")]
async fn heads_without_end_at_a_registry_stay_within_its_memory() {
    let kind = CrowdKind::EndlessHead(120 << 10);
    assert_held(&play(CrowdTarget::Registry, kind, 2_600, 1).await);
}

async fn play_at_entry(listener: ListenerKind, line: &str, kind: CrowdKind, clients: usize) {
    let _alone = ALONE.lock().await;
    let daemon = ServeTest::new().start();
    let holder = match listener {
        ListenerKind::Callers => "addis-dispatch",
        ListenerKind::Endpoints => "endpoint",
        ListenerKind::Operators => "operator",
    };
    let token = savorywalk_standin::token_for(holder);
    let request = CrowdRequest {
        line: line.into(),
        headers: format!("Authorization: Bearer {token}\r\n"),
    };
    let mut crowd = ClientCrowd::start(daemon.address(listener), &request, kind, clients);
    crowd.settle().await;
    let usage = ProcessUsage::read(daemon.id());
    drop(crowd);
    assert_within_vm(usage);
    daemon.assert_up().await;
}

/// Guards against bodies at an entry of the product's own interface that are not bounded in sum.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_bodies_at_an_entry_stay_within_its_memory() {
    let kind = CrowdKind::UnfinishedBody(ENTRY_BODY_BYTES);
    let line = "POST /v1/pipelines/summarise";
    play_at_entry(ListenerKind::Callers, line, kind, 480).await;
}

/// Guards against streams of HTTP/2, which the product's own interface speaks, that hold a body each.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_streams_of_http_2_at_an_entry_stay_within_its_memory() {
    let kind = CrowdKind::UnfinishedStreams {
        streams: 100,
        bytes: ENTRY_BODY_BYTES,
    };
    let line = "POST /v1/pipelines/summarise";
    play_at_entry(ListenerKind::Callers, line, kind, 6).await;
}

/// Guards against announcements at an entry that are not bounded in sum.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_announcements_at_an_entry_stay_within_its_memory() {
    let kind = CrowdKind::UnfinishedBody(ENTRY_BODY_BYTES);
    let line = "POST /v1/endpoints";
    play_at_entry(ListenerKind::Endpoints, line, kind, 480).await;
}

/// Guards against heads without end at an entry, whose listeners keep more than the limit of a head.
#[tokio::test(flavor = "multi_thread")]
async fn heads_without_end_at_an_entry_stay_within_its_memory() {
    let kind = CrowdKind::EndlessHead(120 << 10);
    play_at_entry(
        ListenerKind::Operators,
        "GET /v1/configuration",
        kind,
        2_600,
    )
    .await;
}

/// Plays a crowd of callers whose requests wait for an engine.
async fn play_waiting_inputs(kind: CrowdKind) {
    let _alone = ALONE.lock().await;
    let daemon = ServeTest::new().start();
    let engine = HeldEngine::start().await;
    for pool in ["engines", "crew-roster"] {
        engine.announce(&daemon, pool).await;
    }
    let token = savorywalk_standin::token_for("addis-dispatch");
    let request = CrowdRequest {
        line: "POST /v1/pipelines/draft".into(),
        headers: format!("Authorization: Bearer {token}\r\n"),
    };
    let callers = daemon.address(ListenerKind::Callers);
    let mut crowd = ClientCrowd::start(callers, &request, kind, 120);
    crowd.settle().await;
    let usage = ProcessUsage::read(daemon.id());
    drop(crowd);
    engine.release();
    assert_within_vm(usage);
    daemon.assert_up().await;
}

/// Guards against inputs whose parsed form takes many times their size while they wait for endpoints.
#[tokio::test(flavor = "multi_thread")]
async fn inputs_of_many_small_documents_stay_within_memory_of_an_entry() {
    play_waiting_inputs(CrowdKind::ManyDocuments(ENTRY_BODY_BYTES - 1_000)).await;
}

/// Guards against inputs that are kept as they came, parsed and as the body of a call at once.
#[tokio::test(flavor = "multi_thread")]
async fn long_inputs_stay_within_memory_of_an_entry() {
    play_waiting_inputs(CrowdKind::LongInput(ENTRY_BODY_BYTES - 1_000)).await;
}

/// Guards against listeners that open more descriptors together than their process has.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_at_all_listeners_stay_within_the_descriptors_of_an_entry() {
    let _alone = ALONE.lock().await;
    let daemon = ServeTest::new().limits(FEW_DESCRIPTORS_SETTING).start();
    let request = CrowdRequest {
        line: String::new(),
        headers: String::new(),
    };
    let begin = |listener: &ListenerKind| {
        let address = daemon.address(*listener);
        ClientCrowd::start(address, &request, CrowdKind::Silence, 300)
    };
    let mut crowds: Vec<ClientCrowd> = ListenerKind::ALL.iter().map(begin).collect();
    for crowd in &mut crowds {
        crowd.settle().await;
    }
    daemon.assert_up().await;
    let usage = ProcessUsage::read(daemon.id()).expect("the process has ended");
    assert!(usage.descriptors < FEW_DESCRIPTORS, "{usage:?}");
    drop(crowds);
    daemon.assert_up().await;
}

/// Guards against TLS handshakes that go on after their connections have yielded their places.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_handshakes_stay_within_the_descriptors_of_an_entry() {
    let _alone = ALONE.lock().await;
    let certificate = rcgen::generate_simple_self_signed(["entry.example".to_string()]).unwrap();
    let daemon = ServeTest::new()
        .limits(FEW_DESCRIPTORS_SETTING)
        .callers("certificate = entry.pem\nkey = entry.key\n")
        .file("entry.pem", &certificate.cert.pem())
        .file("entry.key", &certificate.signing_key.serialize_pem())
        .start();
    let request = CrowdRequest {
        line: String::new(),
        headers: String::new(),
    };
    let callers = daemon.address(ListenerKind::Callers);
    let mut crowd = ClientCrowd::start(callers, &request, CrowdKind::Silence, 1_500);
    crowd.settle().await;
    let answer = daemon.call(ListenerKind::Operators, "GET", "/healthz");
    assert_eq!(answer.send().await.status, 200);
    let usage = ProcessUsage::read(daemon.id()).expect("the process has ended");
    assert!(usage.descriptors < FEW_DESCRIPTORS, "{usage:?}");
    drop(crowd);
}

/// Guards against streams of HTTP/2 that stop midway and take all places with their connections.
#[tokio::test(flavor = "multi_thread")]
async fn an_ordinary_request_is_answered_beside_unfinished_streams_of_http_2() {
    let _alone = ALONE.lock().await;
    let daemon = ServeTest::new().limits("connections = 128\n").start();
    let token = savorywalk_standin::token_for("addis-dispatch");
    let request = CrowdRequest {
        line: "POST /v1/pipelines/summarise".into(),
        headers: format!("Authorization: Bearer {token}\r\n"),
    };
    let kind = CrowdKind::UnfinishedStreams {
        streams: 1,
        bytes: 2_000,
    };
    let callers = daemon.address(ListenerKind::Callers);
    let mut crowd = ClientCrowd::start(callers, &request, kind, 300);
    crowd.settle().await;
    while crowd.open() > 0 && read_status(callers).await != Some(200) {}
    let metrics = daemon.call(ListenerKind::Operators, "GET", "/metrics");
    let late = metrics.send().await.body.contains("body_timeout");
    assert!(crowd.open() > 0, "the crowd has left before an answer");
    assert!(!late, "bodies of the crowd were late before an answer");
    drop(crowd);
    daemon.assert_up().await;
}

/// Status of an ordinary call over a connection of its own; `None` if that is closed.
async fn read_status(address: SocketAddr) -> Option<u16> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let head = b"GET /healthz HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n";
    stream.write_all(head).await.ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.ok()?;
    answer.split(' ').nth(1)?.parse().ok()
}

/// Guards against a process that bears crowds, and faults, and not both, or a promise that breaks then.
#[rstest::rstest]
#[tokio::test(flavor = "multi_thread")]
async fn crowds_beside_faults_break_no_promise(#[values(1, 2)] seed: u64) {
    let _alone = ALONE.lock().await;
    let folder = tempfile::tempdir().unwrap();
    let plan = CrowdSoakPlan {
        program: PathBuf::from(env!("CARGO_BIN_EXE_savorywalk")),
        folder: folder.path().to_path_buf(),
        registries: 3,
        gateways: 3,
        clients: 100,
        seed,
    };
    let report = run_crowd_soak(&plan).await.unwrap();
    assert!(report.is_sound(), "seed {seed}: {report}");
}
