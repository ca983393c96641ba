//! Connections that are too many, too slow, encrypted, or HTTP/2.

#![allow(clippy::unwrap_used, reason = "test code: a failure should panic")]

mod support;

use std::net::SocketAddr;
use std::sync::Arc;

use hyper_util::rt::TokioIo;
use rcgen::CertifiedKey;
use rustls::RootCertStore;
use rustls::pki_types::ServerName;
use support::http_call::{HttpAnswer, ListenerKind};
use support::serve_test::ServeTest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use ListenerKind::Callers;

const PROBE: &[u8] = b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n";

async fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).await.unwrap()
}

/// Reads until the other side closes.
async fn rest(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    // A reset is an end as well; what counts is what had come.
    let _reset = stream.read_to_end(&mut bytes).await;
    String::from_utf8(bytes).unwrap()
}

/// Reads the head of one answer, so that its connection is known to be served.
async fn head(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"ok\n") {
        bytes.push(stream.read_u8().await.unwrap());
    }
    String::from_utf8(bytes).unwrap()
}

#[tokio::test]
async fn a_connection_over_the_limit_gets_a_typed_refusal() {
    let daemon = ServeTest::new().callers("max_connections = 1\n").start();
    let mut first = connect(daemon.address(Callers)).await;
    first.write_all(PROBE).await.unwrap();
    head(&mut first).await;
    let mut second = connect(daemon.address(Callers)).await;
    second.write_all(PROBE).await.unwrap();
    let refusal = rest(second).await;
    assert!(refusal.starts_with("HTTP/1.1 503"), "{refusal}");
    assert!(refusal.contains("too_many_connections"), "{refusal}");
    assert!(refusal.contains("retry-after: 1"), "{refusal}");
    first.write_all(PROBE).await.unwrap();
    assert!(head(&mut first).await.starts_with("HTTP/1.1 200"));
}

#[tokio::test]
async fn the_place_of_a_closed_connection_is_free_again() {
    let daemon = ServeTest::new().callers("max_connections = 1\n").start();
    let probe = b"GET /healthz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    for _ in 0..3 {
        loop {
            let mut stream = connect(daemon.address(Callers)).await;
            stream.write_all(probe).await.unwrap();
            if rest(stream).await.starts_with("HTTP/1.1 200") {
                break;
            }
        }
    }
}

#[tokio::test]
async fn a_head_that_comes_too_slowly_is_cut() {
    let daemon = ServeTest::new()
        .callers("header_timeout_ms = 200\n")
        .start();
    let mut stream = connect(daemon.address(Callers)).await;
    stream.write_all(b"GET /healthz HTT").await.unwrap();
    rest(stream).await;
    daemon.assert_up().await;
}

#[tokio::test]
async fn a_connection_that_says_nothing_is_cut() {
    let daemon = ServeTest::new()
        .callers("header_timeout_ms = 200\n")
        .start();
    let stream = connect(daemon.address(Callers)).await;
    assert_eq!(rest(stream).await, "");
    daemon.assert_up().await;
}

#[tokio::test]
async fn a_body_that_never_comes_is_refused() {
    let daemon = ServeTest::new().callers("body_timeout_ms = 200\n").start();
    let mut stream = connect(daemon.address(Callers)).await;
    let request = "POST /v1/pipelines/brief HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\
                   authorization: Bearer demo-addis-dispatch\r\n\r\n{";
    stream.write_all(request.as_bytes()).await.unwrap();
    let refusal = rest(stream).await;
    assert!(refusal.starts_with("HTTP/1.1 408"), "{refusal}");
    assert!(refusal.contains("raise body_timeout_ms"), "{refusal}");
    daemon.assert_up().await;
}

/// Guards against a refusal that is lost, since its connection is reset while the body still comes.
#[tokio::test]
async fn a_refused_body_does_not_reset_its_refusal() {
    let daemon = ServeTest::new().callers("max_body_bytes = 1024\n").start();
    for _ in 0..20 {
        let mut stream = connect(daemon.address(Callers)).await;
        let length = 4 << 20;
        let head = format!(
            "POST /v1/pipelines/brief HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\
             authorization: Bearer demo-addis-dispatch\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(&vec![b'x'; length]).await.unwrap();
        let refusal = rest(stream).await;
        assert!(refusal.starts_with("HTTP/1.1 413"), "{refusal}");
    }
}

#[tokio::test]
async fn bytes_that_are_not_http_close_their_connection_alone() {
    let daemon = ServeTest::new().start();
    let mut stream = connect(daemon.address(Callers)).await;
    stream
        .write_all(b"\x16\x03\x01 hello\r\n\r\n")
        .await
        .unwrap();
    rest(stream).await;
    daemon.assert_up().await;
}

#[tokio::test]
async fn http_2_is_spoken_with_prior_knowledge() {
    let daemon = ServeTest::new().start();
    let answer = daemon.post("fly").http2().send().await;
    assert!(answer.error().starts_with("404 not_found"));
}

#[tokio::test]
async fn a_listener_with_a_certificate_speaks_tls() {
    let CertifiedKey { cert, signing_key } =
        rcgen::generate_simple_self_signed(["localhost".to_string()]).unwrap();
    let daemon = ServeTest::new()
        .callers("certificate = entry.pem\nkey = entry.key\n")
        .file("entry.pem", &cert.pem())
        .file("entry.key", &signing_key.serialize_pem())
        .start();

    let mut roots = RootCertStore::empty();
    roots.add(cert.der().clone()).unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = rustls::ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(roots)
        .with_no_client_auth();
    let connector = tokio_rustls::TlsConnector::from(Arc::new(config));
    let name = ServerName::try_from("localhost").unwrap();
    let stream = connect(daemon.address(Callers)).await;
    let stream = connector.connect(name, stream).await.unwrap();
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .unwrap();
    tokio::spawn(connection);
    let response = sender.send_request(daemon.post("fly").request()).await;
    let answer = HttpAnswer::read(response.unwrap()).await;
    assert!(answer.error().starts_with("404 not_found"));
}

#[tokio::test]
async fn plain_text_at_a_tls_listener_leaves_it_up() {
    let CertifiedKey { cert, signing_key } =
        rcgen::generate_simple_self_signed(["localhost".to_string()]).unwrap();
    let daemon = ServeTest::new()
        .operators("certificate = entry.pem\nkey = entry.key\n")
        .file("entry.pem", &cert.pem())
        .file("entry.key", &signing_key.serialize_pem())
        .start();
    let mut stream = connect(daemon.address(ListenerKind::Operators)).await;
    stream.write_all(PROBE).await.unwrap();
    assert!(!rest(stream).await.contains("200"));
    let answer = daemon.call(Callers, "GET", "/readyz").send().await;
    assert_eq!(answer.status, 200);
}
