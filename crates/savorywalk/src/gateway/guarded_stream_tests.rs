use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};

use super::*;
use crate::prelude::*;

/// Sends a request over a guarded connection; returns the other end of it and the answer.
async fn send_request(
    incarnation_token: &IncarnationToken,
) -> (DuplexStream, tokio::task::JoinHandle<Result<Bytes, String>>) {
    let (client, server) = tokio::io::duplex(4_096);
    let stream = TokioIo::new(GuardedStream::new(client, incarnation_token));
    let (mut sender, connection) = http1::handshake(stream).await.unwrap();
    tokio::spawn(connection);
    let request = Request::new(Empty::<Bytes>::new());
    let answer = tokio::spawn(async move {
        let sent = sender.send_request(request).await;
        let body = sent.map_err(|error| error.to_string())?.into_body();
        read(body).await
    });
    (server, answer)
}

async fn read(body: Incoming) -> Result<Bytes, String> {
    let whole = body.collect().await.map_err(|error| error.to_string())?;
    Ok(whole.to_bytes())
}

async fn receive_request(endpoint: &mut DuplexStream) {
    let mut head = [0; 1_024];
    let received = endpoint.read(&mut head).await.unwrap();
    assert!(received > 0);
}

#[tokio::test]
async fn a_wait_for_an_answer_ends_when_the_endpoint_has_restarted() {
    let incarnation_token = IncarnationToken::default();
    let (mut endpoint, answer) = send_request(&incarnation_token).await;
    receive_request(&mut endpoint).await;
    incarnation_token.end();
    assert!(answer.await.unwrap().is_err());
}

#[tokio::test]
async fn an_answer_that_is_cut_by_a_restart_never_looks_complete() {
    for head in [
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\n\r\nhalf",
    ] {
        let incarnation_token = IncarnationToken::default();
        let (mut endpoint, answer) = send_request(&incarnation_token).await;
        receive_request(&mut endpoint).await;
        endpoint.write_all(head.as_bytes()).await.unwrap();
        endpoint.flush().await.unwrap();
        incarnation_token.end();
        assert!(answer.await.unwrap().is_err(), "{head}");
    }
}

/// The end of the connection, too, may be that of a process that ended before it had finished.
#[tokio::test]
async fn an_answer_that_ends_with_the_connection_of_a_restarted_endpoint_is_not_complete() {
    let incarnation_token = IncarnationToken::default();
    let (mut endpoint, answer) = send_request(&incarnation_token).await;
    receive_request(&mut endpoint).await;
    endpoint
        .write_all(b"HTTP/1.1 200 OK\r\n\r\nhalf")
        .await
        .unwrap();
    drop(endpoint);
    incarnation_token.end();
    assert!(answer.await.unwrap().is_err());
}

#[tokio::test]
async fn an_answer_that_arrived_completely_before_a_restart_is_valid() {
    let incarnation_token = IncarnationToken::default();
    let (mut endpoint, answer) = send_request(&incarnation_token).await;
    receive_request(&mut endpoint).await;
    let whole = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";
    endpoint.write_all(whole.as_bytes()).await.unwrap();
    incarnation_token.end();
    assert_eq!(answer.await.unwrap().unwrap(), Bytes::from_static(b"whole"));
}
