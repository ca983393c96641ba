use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::Request;
use hyper::body::{Body, Frame};
use hyper_util::rt::{TokioExecutor, TokioIo};
use savorywalk::prelude::*;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use super::CrowdRequest;
use super::client_crowd::SentMark;

/// Bytes of a frame.
const FRAME_BYTES: usize = 16 << 10;

/// A body that stops one byte before its end and stays open.
struct UnfinishedBody {
    left: usize,
    mark: Option<SentMark>,
}

impl Body for UnfinishedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let bytes = self.left.min(FRAME_BYTES);
        if bytes == 0 {
            self.mark = None;
            return Poll::Pending;
        }
        self.left -= bytes;
        Poll::Ready(Some(Ok(Frame::data(vec![b'x'; bytes].into()))))
    }
}

/// Sends `streams` requests over one HTTP/2 connection. The mark is dropped once the first body is
/// sent, or the connection is lost.
pub(super) async fn play(
    stream: TcpStream,
    request: &CrowdRequest,
    streams: usize,
    bytes: usize,
    mark: SentMark,
) {
    let handshake =
        hyper::client::conn::http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
    let Ok((sender, connection)) = handshake.await else {
        return;
    };
    let (method, path) = request.line.split_once(' ').unwrap_or(("POST", "/"));
    let mut calls = JoinSet::new();
    let mut mark = Some(mark);
    for _ in 0..streams {
        let mut head = Request::builder()
            .method(method)
            .uri(format!("http://h.example{path}"))
            .header("Content-Length", bytes);
        for (name, value) in request
            .headers
            .lines()
            .filter_map(|line| line.split_once(": "))
        {
            head = head.header(name, value);
        }
        let body = UnfinishedBody {
            left: bytes - 1,
            mark: mark.take(),
        };
        let mut sender = sender.clone();
        if let Ok(request) = head.body(body) {
            calls.spawn(async move { sender.send_request(request).await.is_ok() });
        }
    }
    drop(sender);
    if let Err(error) = connection.await {
        log::debug!("event=client_cut reason={error}");
    }
}
