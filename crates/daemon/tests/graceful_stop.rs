//! A planned stop cuts off no request in progress.

#![allow(clippy::unwrap_used, reason = "test code: a failure should panic")]

mod support;

use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use support::held_engine::HeldEngine;
use support::http_call::{HttpAnswer, ListenerKind};
use support::serve_test::{ServeProcess, ServeTest};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use ListenerKind::{Callers, Operators};

/// A daemon with one engine and one service that the test holds.
async fn start(entry: &str) -> (ServeProcess, HeldEngine) {
    let daemon = ServeTest::new().entry(entry).start();
    let engine = HeldEngine::start().await;
    for pool in ["engines", "crew-roster"] {
        engine.announce(&daemon, pool).await;
    }
    (daemon, engine)
}

/// A streamed request whose first token has come.
async fn in_progress(daemon: &ServeProcess) -> (Response<Incoming>, String) {
    let call = daemon.post("draft").header("accept", "text/event-stream");
    let mut response = call.open().await;
    assert_eq!(response.status(), 200);
    let frame = response.frame().await.unwrap().unwrap();
    let first = String::from_utf8(frame.into_data().unwrap().to_vec()).unwrap();
    (response, first)
}

async fn wait_until_not_ready(daemon: &ServeProcess, listener: ListenerKind) {
    while daemon.call(listener, "GET", "/readyz").send().await.status != 503 {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn a_streamed_answer_in_progress_is_whole() {
    let (daemon, engine) = start("drain_notice_ms = 0\ndrain_timeout_ms = 600000\n").await;
    let (response, first) = in_progress(&daemon).await;
    daemon.terminate();
    wait_until_not_ready(&daemon, Operators).await;
    engine.release();
    let rest = HttpAnswer::read(response).await.body;
    assert_eq!(first, "event: token\ndata: {\"text\":\"tow\"}\n\n");
    assert!(rest.contains("{\"text\":\" truck\"}"), "{rest}");
    assert!(rest.contains("event: answer"), "{rest}");
    assert!(rest.contains("\"answer\":\"tow truck\""), "{rest}");
    assert_eq!(daemon.exit_code().await, 0);
}

#[tokio::test]
async fn an_answer_in_one_piece_is_whole_as_well() {
    let (daemon, engine) = start("drain_notice_ms = 0\ndrain_timeout_ms = 600000\n").await;
    let call = daemon.post("draft");
    let answer = tokio::spawn(async move { call.send().await });
    let (response, _) = in_progress(&daemon).await;
    wait_until_in_progress(&daemon, 2).await;
    daemon.terminate();
    wait_until_not_ready(&daemon, Operators).await;
    engine.release();
    let answer = answer.await.unwrap();
    assert_eq!(answer.status, 200);
    assert_eq!(answer.json()["answer"], "tow truck");
    drop(response);
    assert_eq!(daemon.exit_code().await, 0);
}

async fn wait_until_in_progress(daemon: &ServeProcess, count: u64) {
    loop {
        let call = daemon.call(Operators, "GET", "/v1/status");
        let status = call.token("demo-operator").send().await.json();
        if status["requests_in_progress"] == count {
            return;
        }
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn calls_in_the_notice_time_are_served_and_sent_elsewhere() {
    let (daemon, engine) = start("drain_notice_ms = 60000\n").await;
    engine.release();
    daemon.terminate();
    wait_until_not_ready(&daemon, Callers).await;
    let answer = daemon.post("draft").send().await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("connection"), "close");
}

#[tokio::test]
async fn idle_connections_do_not_hold_up_the_stop() {
    let daemon = ServeTest::new()
        .callers("header_timeout_ms = 600000\n")
        .entry("drain_notice_ms = 0\ndrain_timeout_ms = 600000\n")
        .start();
    let address = daemon.address(Callers);
    let _silent = TcpStream::connect(address).await.unwrap();
    let mut kept = TcpStream::connect(address).await.unwrap();
    let probe = b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n";
    kept.write_all(probe).await.unwrap();
    let mut byte = [0];
    kept.read_exact(&mut byte).await.unwrap();
    let http2 = daemon.call(Callers, "GET", "/healthz").http2().open().await;
    daemon.terminate();
    assert_eq!(daemon.exit_code().await, 0);
    drop(http2);
}

#[tokio::test]
async fn a_request_that_outlasts_the_drain_is_told_by_the_exit_code() {
    let (daemon, _engine) = start("drain_notice_ms = 0\ndrain_timeout_ms = 100\n").await;
    let _request = in_progress(&daemon).await;
    daemon.terminate();
    daemon.log().wait_for("entry_closed");
    assert_eq!(daemon.exit_code().await, 1);
}
