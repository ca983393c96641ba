use hyper_util::rt::{TokioExecutor, TokioTimer};
use hyper_util::server::conn::auto;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio_rustls::TlsAcceptor;
use tokio_util::sync::CancellationToken;

use super::connection_acceptor::ConnectionAcceptor;
use super::connection_table::ConnectionTable;
use super::{ClientIntake, ConnectionLimits, HttpHandler, HttpServer};
use crate::prelude::*;
use crate::settings::ListenerSettings;

/// Room above `max_header_bytes`, so that a head over it can be refused by name.
const HEADER_SLACK: usize = 64 << 10;
/// How often an HTTP/2 connection is asked for a sign of life, and how long
/// the answer may take: a caller that went silent frees its place, and holds
/// up a stop no longer than both together.
const PING_INTERVAL: Duration = Duration::from_secs(10);
const PING_TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes of a body, and of all bodies of an HTTP/2 connection, that may arrive before they are read.
const STREAM_WINDOW: u32 = 64 << 10;
const CONNECTION_WINDOW: u32 = 128 << 10;

/// A listener that is bound and not yet served.
pub(crate) struct BoundListener {
    pub(super) listener: TcpListener,
    pub(super) address: SocketAddr,
    pub(super) tls: Option<TlsAcceptor>,
    pub(super) settings: ListenerSettings,
}

impl fmt::Debug for BoundListener {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut shown = formatter.debug_struct("BoundListener");
        shown
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl BoundListener {
    /// Serves `handler` until the server is closed.
    pub(crate) fn serve<S: HttpHandler>(self, handler: S, intake: ClientIntake) -> HttpServer {
        let stopping = CancellationToken::new();
        let acceptor = ConnectionAcceptor {
            table: ConnectionTable::new(self.settings.max_connections as usize),
            refusals: Arc::new(Semaphore::new(intake.refusal_connections)),
            builder: connection_builder(&self.settings),
            handler,
            intake,
            tls: self.tls,
            limit: self.settings.max_connections,
            limits: connection_limits(&self.settings),
            stopping: stopping.clone(),
        };
        let address = self.address;
        let task = tokio::spawn(acceptor.accept(self.listener));
        HttpServer {
            address,
            stopping,
            task,
        }
    }
}

fn connection_limits(settings: &ListenerSettings) -> ConnectionLimits {
    let timeout = Duration::from_millis(settings.header_timeout_ms.into());
    ConnectionLimits {
        head_bytes: settings.max_header_bytes as usize + HEADER_SLACK,
        head_time: timeout,
        idle_time: timeout,
    }
}

fn connection_builder(settings: &ListenerSettings) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        // The listener has limits of its own.
        .header_read_timeout(None);
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .max_concurrent_streams(settings.max_streams)
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_send_buf_size(CONNECTION_WINDOW as usize)
        .max_header_list_size(settings.max_header_bytes + HEADER_SLACK as u32);
    match settings.max_streams {
        0 => builder.http1_only(),
        _ => builder,
    }
}
