use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Counts connections, and silences those that are open at a moment: they stay
/// open, take bytes and never give any, as when something between the two ends
/// has lost track of them.
#[derive(Debug, Default)]
pub(crate) struct ConnectionSilencer {
    opened: AtomicU64,
    silenced: AtomicU64,
}

/// A connection that can go silent for good.
#[derive(Debug)]
pub(crate) struct SilentConnection {
    stream: TcpStream,
    number: u64,
    silencer: Arc<ConnectionSilencer>,
}

impl ConnectionSilencer {
    /// Silences every connection that is open now.
    pub(crate) fn silence_open(&self) {
        let opened = self.opened.load(Ordering::SeqCst);
        self.silenced.store(opened, Ordering::SeqCst);
    }
}

impl SilentConnection {
    pub(crate) fn new(stream: TcpStream, silencer: &Arc<ConnectionSilencer>) -> Self {
        let before = silencer.opened.fetch_add(1, Ordering::SeqCst);
        Self {
            stream,
            number: before + 1,
            silencer: Arc::clone(silencer),
        }
    }

    fn is_silent(&self) -> bool {
        self.number <= self.silencer.silenced.load(Ordering::SeqCst)
    }
}

impl AsyncRead for SilentConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for SilentConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
