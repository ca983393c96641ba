use std::net::UdpSocket;

use super::*;
use crate::transport::LinkChannel;

fn hub(address: &str) -> LinkHub {
    let settings = ClusterSettings {
        address: address.into(),
        ..Default::default()
    };
    start(&settings).unwrap()
}

/// A coordinator that was stopped as planned and came back
/// after 0.3 s; ten requests held calls over the old links for 1.1 s.
#[tokio::test]
async fn peers_of_a_daemon_that_stops_learn_of_it_at_once() {
    let free = UdpSocket::bind("127.0.8.1:0").unwrap();
    let port = free.local_addr().unwrap().port();
    drop(free);
    let one = hub(&format!("127.0.8.1:{port}"));
    let two = hub(&format!("127.0.8.2:{port}"));
    let mut calls = two.serve(LinkChannel::Work);
    let time = Duration::from_secs(30);
    let calling = one.call("127-0-8-2", LinkChannel::Work, Bytes::new(), time);
    let closing = async {
        let call = calls.recv().await;
        close(two.clone()).await;
        call
    };
    let (answer, call) = tokio::join!(calling, closing);
    assert!(call.is_some());
    let reason = answer.unwrap_err().to_string();
    assert!(reason.contains("stopped"), "{reason}");
}
