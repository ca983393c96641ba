use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio_util::sync::WaitForCancellationFutureOwned;

use crate::registry::IncarnationToken;

/// Bytes that an endpoint may send up to the end of the head of an answer, interim heads
/// included. A head has at most as many bytes as a read buffer; the rest is room for interim heads
/// and for the part of the body that is read with the head.
const MAX_HEAD_BYTES: usize = 256 << 10;

/// Counts the bytes that arrive before the head of an answer is complete, so that interim heads
/// without end are given up.
#[derive(Debug, Default)]
pub(super) struct HeadMeter {
    is_waiting: AtomicBool,
    bytes: AtomicUsize,
}

impl HeadMeter {
    /// Begins to wait for a head.
    pub(super) fn start(&self) {
        self.bytes.store(0, Ordering::Relaxed);
        self.is_waiting.store(true, Ordering::Relaxed);
    }

    /// Ends the wait for a head. Returns whether it has exceeded its limit.
    pub(super) fn stop(&self) -> bool {
        self.is_waiting.store(false, Ordering::Relaxed);
        self.bytes.load(Ordering::Relaxed) > MAX_HEAD_BYTES
    }

    /// Counts bytes that have arrived. Returns false if they are too many.
    fn record(&self, bytes: usize) -> bool {
        if !self.is_waiting.load(Ordering::Relaxed) {
            return true;
        }
        self.bytes.fetch_add(bytes, Ordering::Relaxed) + bytes <= MAX_HEAD_BYTES
    }
}

/// A connection that fails once the incarnation of its peer is known to have ended.
///
/// A process that hung and was restarted leaves its old connections open, and a
/// reader would wait for the rest of an answer until its timeout. The stream then returns
/// an error rather than its end, so that a truncated answer never looks complete.
#[derive(Debug)]
pub(super) struct GuardedStream<S> {
    inner: S,
    token: IncarnationToken,
    head_meter: Arc<HeadMeter>,
    ended: Pin<Box<WaitForCancellationFutureOwned>>,
}

impl<S> GuardedStream<S> {
    pub(super) fn new(inner: S, incarnation_token: &IncarnationToken) -> Self {
        Self {
            inner,
            token: incarnation_token.clone(),
            head_meter: Arc::default(),
            ended: Box::pin(incarnation_token.wait_for_end()),
        }
    }
}

impl<S> GuardedStream<S> {
    /// The count of the bytes of heads.
    pub(super) fn head_meter(&self) -> Arc<HeadMeter> {
        Arc::clone(&self.head_meter)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for GuardedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        match Pin::new(&mut self.inner).poll_read(context, buffer) {
            // The process may have ended before the answer was complete.
            Poll::Ready(Ok(())) if buffer.filled().len() == filled && self.token.has_ended() => {
                Poll::Ready(Err(restarted()))
            }
            Poll::Ready(Ok(())) if !self.head_meter.record(buffer.filled().len() - filled) => {
                Poll::Ready(Err(head_too_large()))
            }
            // Data that has arrived is valid even if its sender has ended since.
            Poll::Ready(result) => Poll::Ready(result),
            Poll::Pending => self.ended.as_mut().poll(context).map(|()| Err(restarted())),
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for GuardedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}

fn restarted() -> io::Error {
    let reason = "the endpoint has restarted";
    io::Error::new(io::ErrorKind::ConnectionReset, reason)
}

fn head_too_large() -> io::Error {
    let reason = "the head of the answer has no end";
    io::Error::new(io::ErrorKind::InvalidData, reason)
}

#[cfg(test)]
#[path = "guarded_stream_tests.rs"]
mod tests;
