//! Announcements and leaving, as an entry sees them.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use savorywalk::directory::{EndpointAnnouncement, EndpointState};
use savorywalk_standin::{AnnounceTarget, AnnouncementOptions, StandinOptions, start_announcer};
use serde_json::json;
use support::*;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// Listens as an entry does and hands on what endpoints announce.
async fn listen() -> (
    AnnounceTarget,
    mpsc::UnboundedReceiver<EndpointAnnouncement>,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let target = AnnounceTarget {
        entries: vec![listener.local_addr().unwrap()],
        token: "t".into(),
        everywhere: true,
        address: None,
    };
    let (sender, receiver) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let sender = sender.clone();
            let service = service_fn(move |request: Request<Incoming>| {
                let sender = sender.clone();
                async move {
                    let body = request.into_body().collect().await?.to_bytes();
                    let announcement = serde_json::from_slice(&body).unwrap();
                    sender.send(announcement).ok();
                    Ok::<_, hyper::Error>(Response::new(Full::new(Bytes::new())))
                }
            });
            let http = hyper::server::conn::http1::Builder::new();
            tokio::spawn(http.serve_connection(TokioIo::new(stream), service));
        }
    });
    (target, receiver)
}

async fn next(
    announcements: &mut mpsc::UnboundedReceiver<EndpointAnnouncement>,
) -> EndpointAnnouncement {
    let next = tokio::time::timeout(WAIT_TIMEOUT, announcements.recv());
    next.await.expect("no announcement came").unwrap()
}

fn often() -> AnnouncementOptions {
    AnnouncementOptions {
        interval: Duration::from_millis(5),
        ..AnnouncementOptions::default()
    }
}

#[tokio::test]
async fn a_leaver_announces_it_finishes_its_work_and_goes() {
    let options = StandinOptions {
        base_time: Duration::from_millis(200),
        leave_notice: Duration::ZERO,
        announcement: often(),
        ..StandinOptions::default()
    };
    let server = Arc::new(start(options).await);
    let (target, mut announcements) = listen().await;
    start_announcer(&server, target);
    assert_eq!(next(&mut announcements).await.state, EndpointState::Serving);
    let call = request(&server, Method::POST, "/v1/lookup", &[], &json!({}));
    let open = tokio::spawn(client().request(call));
    until("it runs", || server.load().running == 1).await;
    server.leave();
    while next(&mut announcements).await.state == EndpointState::Serving {}
    let answer = open.await.unwrap().unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
    text(answer).await.unwrap();
    tokio::time::timeout(WAIT_TIMEOUT, server.gone())
        .await
        .unwrap();
}

#[tokio::test]
async fn a_leaver_refuses_work_as_not_run_after_its_notice() {
    let options = StandinOptions {
        base_time: Duration::from_secs(3_600),
        leave_notice: Duration::ZERO,
        ..StandinOptions::default()
    };
    let server = start(options).await;
    let call = request(&server, Method::POST, "/v1/lookup", &[], &json!({}));
    let open = tokio::spawn(client().request(call));
    until("it runs", || server.load().running == 1).await;
    server.leave();
    let refused = async {
        loop {
            let call = request(&server, Method::POST, "/v1/lookup", &[], &json!({}));
            let answer = tokio::time::timeout(Duration::from_millis(50), client().request(call));
            if let Ok(Ok(answer)) = answer.await {
                return answer;
            }
        }
    };
    let refused = tokio::time::timeout(WAIT_TIMEOUT, refused).await.unwrap();
    assert_eq!(json_body(refused).await["error"]["kind"], "not_run");
    open.abort();
}

#[tokio::test]
async fn an_engine_announces_its_load_and_its_cache() {
    let options = StandinOptions {
        time_per_token: Duration::from_secs(3_600),
        announcement: often(),
        ..engine()
    };
    let server = Arc::new(start(options).await);
    let (target, mut announcements) = listen().await;
    start_announcer(&server, target);
    let prompt = "word ".repeat(120);
    let _open = post(&server, "/v1/completions", &completion(&prompt)).await;
    let mut cached = 0;
    let mut running = 0;
    while running == 0 || cached == 0 {
        let announcement = next(&mut announcements).await;
        running = running.max(announcement.load.running);
        cached += announcement.cache_events.len();
    }
    assert_eq!((running, cached), (1, 2));
}

#[tokio::test]
async fn a_prefix_moves_from_one_engine_to_another() {
    let (first, second) = (start(engine()).await, start(engine()).await);
    let prompt = "word ".repeat(120);
    let answer = post(&first, "/v1/completions", &completion(&prompt)).await;
    text(answer).await.unwrap();
    let prefix = savorywalk::directory::PrefixHash::of_blocks(prompt.as_bytes())[1];
    let path = format!("/v1/cache/{prefix}");
    assert_eq!(get(&second, &path).await.status(), StatusCode::NOT_FOUND);
    let exported = json_body(get(&first, &path).await).await;
    let import = request(&second, Method::PUT, &path, &[], &exported);
    let imported = client().request(import).await.unwrap();
    assert_eq!(imported.status(), StatusCode::NO_CONTENT);
    assert_eq!(json_body(get(&second, &path).await).await, exported);
}
