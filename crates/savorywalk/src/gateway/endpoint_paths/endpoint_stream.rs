use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::transport::LinkStream;

/// A connection to an endpoint.
#[derive(Debug)]
pub(in crate::gateway) enum EndpointStream {
    /// Opened by this entry.
    Direct(TcpStream),
    /// Opened by another entry, which passes its bytes on.
    Relayed(LinkStream),
}

impl EndpointStream {
    /// Whether another entry opened the connection.
    pub(in crate::gateway) fn is_relayed(&self) -> bool {
        match self {
            Self::Direct(_) => false,
            Self::Relayed(_) => true,
        }
    }
}

impl AsyncRead for EndpointStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Direct(stream) => Pin::new(stream).poll_read(context, buffer),
            Self::Relayed(stream) => Pin::new(stream).poll_read(context, buffer),
        }
    }
}

impl AsyncWrite for EndpointStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Self::Direct(stream) => Pin::new(stream).poll_write(context, bytes),
            Self::Relayed(stream) => Pin::new(stream).poll_write(context, bytes),
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Self::Direct(stream) => Pin::new(stream).poll_write_vectored(context, slices),
            Self::Relayed(stream) => Pin::new(stream).poll_write_vectored(context, slices),
        }
    }

    fn is_write_vectored(&self) -> bool {
        match self {
            Self::Direct(stream) => stream.is_write_vectored(),
            Self::Relayed(stream) => stream.is_write_vectored(),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Direct(stream) => Pin::new(stream).poll_flush(context),
            Self::Relayed(stream) => Pin::new(stream).poll_flush(context),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Direct(stream) => Pin::new(stream).poll_shutdown(context),
            Self::Relayed(stream) => Pin::new(stream).poll_shutdown(context),
        }
    }
}
