use std::sync::atomic::{AtomicU32, Ordering};

use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use super::{AttemptError, Result};
use crate::prelude::*;

/// Timeout for opening a TCP connection, within and between data centres.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// An open HTTP/1.1 connection. Dropping it closes the connection, also in the
/// middle of an exchange.
#[derive(Debug)]
pub(super) struct PooledConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    address: SocketAddr,
    _slot: ConnectionSlot,
}

/// Counts one open connection to an endpoint until it is dropped.
#[derive(Debug)]
pub(super) struct ConnectionSlot {
    open: Arc<AtomicU32>,
}

/// Error of a request that got no response.
pub(super) enum SendFailure {
    /// No byte of the request was written.
    Unsent(String),
    /// The request may have arrived.
    Cut(String),
}

impl ConnectionSlot {
    /// Acquires a slot, unless `limit` are in use.
    pub(super) fn try_acquire(open: &Arc<AtomicU32>, limit: u32) -> Option<Self> {
        let slot = Self {
            open: Arc::clone(open),
        };
        let before = open.fetch_add(1, Ordering::Relaxed);
        (before < limit).then_some(slot)
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl PooledConnection {
    /// Opens a connection. An error implies that no request was sent.
    pub(super) async fn open(address: SocketAddr, slot: ConnectionSlot) -> Result<Self> {
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(unreachable(error)),
            Err(_) => return Err(unreachable("no connection within 500 ms")),
        };
        stream.set_nodelay(true).map_err(unreachable)?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(unreachable)?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log_event!(debug, "connection_ended", error = error);
            }
        });
        Ok(Self {
            sender,
            driver: driver.abort_handle(),
            address,
            _slot: slot,
        })
    }

    /// Sends a request and waits for the head of its response.
    pub(super) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> std::result::Result<Response<Incoming>, SendFailure> {
        if let Err(error) = self.sender.ready().await {
            return Err(SendFailure::Unsent(error.to_string()));
        }
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut failure) => {
                let error = failure.error().to_string();
                Err(match failure.take_message() {
                    Some(_) => SendFailure::Unsent(error),
                    None => SendFailure::Cut(error),
                })
            }
        }
    }

    /// Address of the endpoint.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether the connection is closed.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

fn unreachable(error: impl fmt::Display) -> AttemptError {
    AttemptError::Unreachable(error.to_string())
}
