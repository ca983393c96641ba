use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

use super::connection_state::{ConnectionPhase, ConnectionState};
use crate::http_bodies::BodyHold;
use crate::prelude::*;

/// Most bytes of one read, so that the library's read buffer of a connection stays as small.
const READ_BYTES: usize = 8 << 10;

/// Bytes of a head that every connection may have; further ones count.
const FREE_HEAD_BYTES: usize = 8 << 10;

/// The read buffer has up to twice the size of the head in it.
const BUFFER_COST: usize = 2;

/// Longest time, and most bytes, for the rest of a refused body after the connection was shut down.
/// Closed at once, the connection would be reset, and its refusal lost.
const LINGER_TIME: Duration = Duration::from_secs(1);
const LINGER_BYTES: usize = 16 << 20;

/// A connection whose read buffer is counted before it is filled.
#[derive(Debug)]
pub(super) struct MeteredStream<T> {
    stream: T,
    state: Arc<ConnectionState>,
    /// Memory of the head that is arriving.
    head: BodyHold,
    /// The rest of a body that is read after the shutdown.
    linger: Option<LingeringBody>,
}

/// The rest of a body that nobody wants.
#[derive(Debug)]
struct LingeringBody {
    timeout: Pin<Box<Sleep>>,
    bytes_left: usize,
}

impl<T> MeteredStream<T> {
    pub(super) fn new(stream: T, state: Arc<ConnectionState>, head: BodyHold) -> Self {
        Self {
            stream,
            state,
            head,
            linger: None,
        }
    }

    /// Holds the memory for the next bytes of a head.
    fn hold_head(&mut self) -> io::Result<()> {
        let bytes = match self.state.phase() {
            ConnectionPhase::Idle | ConnectionPhase::Call => 0,
            ConnectionPhase::Head => self.state.head_bytes(),
        };
        let cost = match bytes {
            0..FREE_HEAD_BYTES => 0,
            bytes => (bytes + READ_BYTES) * BUFFER_COST,
        };
        self.head.resize(cost).map_err(io::Error::other)
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for MeteredStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let me = &mut *self;
        me.hold_head()?;
        let before = buffer.filled().len();
        if buffer.remaining() <= READ_BYTES {
            ready!(Pin::new(&mut me.stream).poll_read(context, buffer))?;
        } else {
            let mut part = ReadBuf::new(buffer.initialize_unfilled_to(READ_BYTES));
            ready!(Pin::new(&mut me.stream).poll_read(context, &mut part))?;
            let bytes = part.filled().len();
            buffer.advance(bytes);
        }
        let bytes = buffer.filled().len() - before;
        me.state.record_received(bytes, Instant::now());
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncRead + AsyncWrite + Unpin> AsyncWrite for MeteredStream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, data));
        self.state.record_sent(Instant::now());
        Poll::Ready(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, slices));
        self.state.record_sent(Instant::now());
        Poll::Ready(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let me = &mut *self;
        if me.linger.is_none() {
            ready!(Pin::new(&mut me.stream).poll_shutdown(context))?;
            if !me.state.may_have_body_left() {
                return Poll::Ready(Ok(()));
            }
        }
        let linger = me.linger.get_or_insert_with(LingeringBody::new);
        linger.poll_end(&mut me.stream, context).map(Ok)
    }
}

impl LingeringBody {
    fn new() -> Self {
        Self {
            timeout: Box::pin(tokio::time::sleep(LINGER_TIME)),
            bytes_left: LINGER_BYTES,
        }
    }

    /// Reads until the other end closes, or enough was read.
    fn poll_end<T: AsyncRead + Unpin>(
        &mut self,
        stream: &mut T,
        context: &mut Context<'_>,
    ) -> Poll<()> {
        if self.timeout.as_mut().poll(context).is_ready() {
            return Poll::Ready(());
        }
        let mut scratch = [0; READ_BYTES];
        while self.bytes_left > 0 {
            let mut part = ReadBuf::new(&mut scratch);
            let read = ready!(Pin::new(&mut *stream).poll_read(context, &mut part));
            let bytes = part.filled().len();
            if read.is_err() || bytes == 0 {
                break;
            }
            self.bytes_left = self.bytes_left.saturating_sub(bytes);
        }
        Poll::Ready(())
    }
}

#[cfg(test)]
#[path = "metered_stream_tests.rs"]
mod tests;
