use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio_util::sync::WaitForCancellationFutureOwned;

use crate::registry::IncarnationToken;

/// A connection that fails once the incarnation of its peer is known to have ended.
///
/// A process that hung and was restarted leaves its old connections open, and a
/// reader would wait for the rest of an answer until its timeout. The stream then returns
/// an error rather than its end, so that a truncated answer never looks complete.
#[derive(Debug)]
pub(super) struct GuardedStream<S> {
    inner: S,
    token: IncarnationToken,
    ended: Pin<Box<WaitForCancellationFutureOwned>>,
}

impl<S> GuardedStream<S> {
    pub(super) fn new(inner: S, incarnation_token: &IncarnationToken) -> Self {
        Self {
            inner,
            token: incarnation_token.clone(),
            ended: Box::pin(incarnation_token.wait_for_end()),
        }
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

#[cfg(test)]
#[path = "guarded_stream_tests.rs"]
mod tests;
