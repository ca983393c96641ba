use std::convert::Infallible;

use futures::FutureExt;
use hyper::body::{Body, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, Version};
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_rustls::TlsAcceptor;
use tokio_util::sync::CancellationToken;

use super::call_body::CallBody;
use super::client_intake::{CloseReason, OpenCount};
use super::connection_table::{ConnectionTable, OpenConnection};
use super::metered_stream::MeteredStream;
use super::{ClientBody, ClientIntake, ConnectionLimits, HttpHandler, response_body};
use crate::http_bodies::MemoryFull;
use crate::prelude::*;

/// Pause after a failed accept, so that a lack of descriptors is no busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Longest TLS handshake.
const TLS_TIMEOUT: Duration = Duration::from_secs(10);
/// After the last accept, how long a call that had already reached this VM
/// has to be read, before connections without a call are closed.
const BACKLOG_GRACE: Duration = Duration::from_millis(100);
/// Smallest read buffer that the library takes, in bytes.
const MIN_READ_BUFFER: usize = 8 << 10;

/// Accepts the connections of one listener and serves each in its own task.
#[derive(Clone)]
pub(super) struct ConnectionAcceptor<S> {
    pub(super) table: Arc<ConnectionTable>,
    pub(super) refusals: Arc<Semaphore>,
    pub(super) builder: auto::Builder<TokioExecutor>,
    pub(super) intake: ClientIntake,
    pub(super) handler: S,
    pub(super) tls: Option<TlsAcceptor>,
    pub(super) limit: u32,
    pub(super) limits: ConnectionLimits,
    pub(super) stopping: CancellationToken,
}

/// A connection with its place, given back when it is dropped.
struct ConnectionPlace {
    connection: OpenConnection,
    /// True for a connection over the limit, which gets a typed refusal.
    refused: bool,
    _count: OpenCount,
}

impl<S: HttpHandler> ConnectionAcceptor<S> {
    /// Accepts until the listener stops, then waits for open calls to finish.
    pub(super) async fn accept(self, listener: TcpListener) {
        let graceful = GracefulShutdown::new();
        loop {
            let accepted = tokio::select! {
                () = self.stopping.cancelled() => break,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => self.spawn(stream, graceful.watcher()),
                Err(error) => {
                    log_event!(warn, "accept_failed", error = error);
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
        while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
            self.spawn(stream, graceful.watcher());
        }
        drop(listener);
        tokio::time::sleep(BACKLOG_GRACE).await;
        graceful.shutdown().await;
    }

    fn spawn(&self, stream: TcpStream, watcher: Watcher) {
        let Some(place) = self.place() else {
            return self.intake.record_closed(CloseReason::Dropped);
        };
        if let Err(error) = stream.set_nodelay(true) {
            log_event!(debug, "nodelay_not_set", error = error);
        }
        let acceptor = self.clone();
        tokio::spawn(async move {
            let Some(tls) = acceptor.tls.clone() else {
                return acceptor.serve(stream, watcher, place).await;
            };
            let state = Arc::clone(&place.connection.state);
            let handshake = tokio::time::timeout(TLS_TIMEOUT, tls.accept(stream));
            let accepted = tokio::select! {
                () = state.until_yielded() => {
                    return acceptor.intake.record_closed(CloseReason::Yielded);
                }
                accepted = handshake => accepted,
            };
            match accepted {
                Ok(Ok(stream)) => acceptor.serve(stream, watcher, place).await,
                Ok(Err(error)) => log_event!(debug, "handshake_failed", error = error),
                Err(_) => acceptor.intake.record_closed(CloseReason::LateHandshake),
            }
        });
    }

    fn place(&self) -> Option<ConnectionPlace> {
        let now = Instant::now();
        let place = self.table.take_place(now);
        let refused = place.is_none();
        let connection = match place {
            Some(permit) => self.table.open(permit, now),
            None => {
                let permit = Arc::clone(&self.refusals).try_acquire_owned().ok()?;
                self.intake.record_closed(CloseReason::Refused);
                self.table.open_apart(permit, now)
            }
        };
        Some(ConnectionPlace {
            connection,
            refused,
            _count: self.intake.count_open(),
        })
    }

    async fn serve<T>(self, stream: T, watcher: Watcher, place: ConnectionPlace)
    where
        T: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let limits = self.handler.connection_limits().unwrap_or(self.limits);
        let state = Arc::clone(&place.connection.state);
        let service = service_fn(|request: Request<Incoming>| {
            let call = state.begin_call(request.version() == Version::HTTP_2);
            let has_body = !request.body().is_end_stream();
            let now = Instant::now();
            let request = request.map(|body| ClientBody::new(body, &state, now));
            let answer = self.answer(request, place.refused);
            let state = Arc::clone(&state);
            // Boxed, since the library reserves the size of this future for each connection.
            Box::pin(async move {
                let answer = answer.await;
                // A success needs the whole body, a refusal may come before its end.
                let status = answer.status();
                let is_refusal = status.is_client_error() || status.is_server_error();
                state.set_body_left(has_body && is_refusal);
                Ok::<_, Infallible>(answer.map(|body| CallBody { body, _call: call }))
            })
        });
        let heads = self.intake.heads.hold();
        let stream = MeteredStream::new(stream, Arc::clone(&state), heads);
        let connection = self
            .connection_builder(&limits)
            .serve_connection(TokioIo::new(stream), service)
            .into_owned();
        tokio::select! {
            // What has arrived is read before a time limit counts.
            biased;
            ended = watcher.watch(connection) => {
                if let Err(error) = ended {
                    self.record_end(&*error);
                }
            }
            reason = state.until_closed(&limits) => self.intake.record_closed(reason),
        }
    }

    fn connection_builder(&self, limits: &ConnectionLimits) -> auto::Builder<TokioExecutor> {
        let mut builder = self.builder.clone();
        let head_bytes = limits.head_bytes.max(MIN_READ_BUFFER);
        builder.http1().max_buf_size(head_bytes);
        builder
    }

    fn record_end(&self, error: &(dyn std::error::Error + 'static)) {
        let mut causes = std::iter::successors(Some(error), |error| error.source());
        let is_full = causes.any(is_memory_full);
        if is_full {
            self.intake.record_closed(CloseReason::HeadMemory);
        }
        log_event!(debug, "connection_ended", error = error);
    }

    /// Answers one call; a refused connection is closed after its refusal.
    fn answer(
        &self,
        request: Request<ClientBody>,
        refused: bool,
    ) -> impl Future<Output = Response<S::Body>> + Send + 'static {
        let handler = self.handler.clone();
        let limit = self.limit;
        async move {
            if !refused {
                return handler.handle(request).await;
            }
            let mut response = handler.refuse_connection(limit);
            response_body::close_connection(&mut response, request.version());
            response
        }
    }
}

/// Whether a connection has ended since its head did not fit.
fn is_memory_full(error: &(dyn std::error::Error + 'static)) -> bool {
    let error = error.downcast_ref::<std::io::Error>();
    let cause = error.and_then(|error| error.get_ref());
    cause.is_some_and(|cause| cause.is::<MemoryFull>())
}
