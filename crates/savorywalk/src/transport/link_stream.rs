use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use prost::Message;
use quinn::{RecvStream, SendStream, VarInt};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};

use super::connection_uses::{ConnectionUse, ConnectionUses, UseGuard};
use crate::prelude::*;

/// First byte of a stream of bytes. No call starts with it, since protobuf has no field 0 and no
/// wire type 7.
pub(super) const STREAM_MARKER: u8 = 7;

/// Largest message before the bytes of a stream.
const MAX_HEADER_BYTES: u32 = 64 * 1024;

/// Close code of a stream that one end has given up.
const CODE_ABANDONED: VarInt = VarInt::from_u32(1);

/// A stream of bytes between two daemons. Dropping it before its end resets it, so that the peer
/// never takes a cut stream for a complete one.
#[derive(Debug)]
pub struct LinkStream {
    send: SendStream,
    receive: RecvStream,
    is_finished: bool,
    _guard: UseGuard,
}

impl Drop for LinkStream {
    fn drop(&mut self) {
        if !self.is_finished {
            // Both fail only for a stream that has ended already.
            let _ = self.send.reset(CODE_ABANDONED);
        }
        let _ = self.receive.stop(CODE_ABANDONED);
    }
}

impl LinkStream {
    pub(super) fn new(send: SendStream, receive: RecvStream, uses: &Arc<ConnectionUses>) -> Self {
        Self {
            send,
            receive,
            is_finished: false,
            _guard: UseGuard::enter(uses, ConnectionUse::Stream),
        }
    }

    /// Sends a message ahead of the bytes.
    pub(super) async fn write_header(&mut self, message: &impl Message) -> io::Result<()> {
        let message = message.encode_to_vec();
        self.write_u32(message.len() as u32).await?;
        self.write_all(&message).await
    }

    /// Reads a message ahead of the bytes.
    pub(super) async fn read_header<M: Message + Default>(&mut self) -> io::Result<M> {
        let length = self.read_u32().await?;
        if length > MAX_HEADER_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let mut bytes = vec![0; length as usize];
        self.read_exact(&mut bytes).await?;
        M::decode(bytes.as_slice())
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
    }
}

impl AsyncRead for LinkStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        AsyncRead::poll_read(Pin::new(&mut self.receive), context, buffer)
    }
}

impl AsyncWrite for LinkStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        AsyncWrite::poll_write(Pin::new(&mut self.send), context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        AsyncWrite::poll_flush(Pin::new(&mut self.send), context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(AsyncWrite::poll_shutdown(Pin::new(&mut self.send), context))?;
        self.is_finished = true;
        Poll::Ready(Ok(()))
    }
}
