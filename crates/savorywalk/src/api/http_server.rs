use std::convert::Infallible;
use std::io;

use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::JoinHandle;
use tokio_rustls::TlsAcceptor;
use tokio_util::sync::CancellationToken;

use super::{ApiError, ApiSurface, response_body};
use crate::prelude::*;
use crate::settings::ListenerSettings;

/// Connections over the limit that still get a typed refusal; further ones
/// are closed without a word.
const REFUSAL_CONNECTIONS: usize = 64;
/// Room above `max_header_bytes`, so that a head over it can be refused by name.
const HEADER_SLACK: usize = 64 << 10;
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
const TLS_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a listener could not be opened.
#[derive(Debug, Error)]
pub enum ServerError {
    /// The address can't be listened on.
    #[error("can't listen on {address}: {error}; choose a free address of this VM")]
    Listen {
        /// The address.
        address: String,
        /// The system's word.
        error: io::Error,
    },
    /// The certificate or key can't be used.
    #[error(
        "can't use certificate {certificate:?} with key {key:?}: {error}; name PEM files that belong together"
    )]
    Tls {
        /// File of the certificate.
        certificate: String,
        /// File of the key.
        key: String,
        /// What is wrong.
        error: String,
    },
}

/// One open listener and its connections.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    stopping: CancellationToken,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Whether the certificate and key that `settings` name can be used; the
    /// error says why not.
    pub(crate) fn check_certificate(settings: &ListenerSettings) -> Result<(), String> {
        match tls_acceptor(settings) {
            Ok(_) => Ok(()),
            Err(ServerError::Tls { error, .. }) => Err(error),
            Err(error @ ServerError::Listen { .. }) => Err(error.to_string()),
        }
    }

    /// Binds the listener that `settings` name; it does not serve yet.
    pub(crate) async fn bind(settings: &ListenerSettings) -> Result<BoundListener, ServerError> {
        let listener = TcpListener::bind(&settings.address).await;
        let listener = listener.map_err(|error| ServerError::Listen {
            address: settings.address.clone(),
            error,
        })?;
        let address = listener.local_addr().map_err(|error| ServerError::Listen {
            address: settings.address.clone(),
            error,
        })?;
        Ok(BoundListener {
            listener,
            address,
            tls: tls_acceptor(settings)?,
            settings: settings.clone(),
        })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting, lets open calls finish, then closes; gives up on them
    /// after `timeout` and tells whether all had finished.
    pub async fn close(self, timeout: Duration) -> bool {
        self.stopping.cancel();
        let finished = tokio::time::timeout(timeout, self.task).await;
        finished.is_ok()
    }
}

/// A listener that is bound and not yet served.
pub(crate) struct BoundListener {
    listener: TcpListener,
    address: SocketAddr,
    tls: Option<TlsAcceptor>,
    settings: ListenerSettings,
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
    /// Serves `surface` until the server is closed.
    pub(crate) fn serve(self, surface: ApiSurface) -> HttpServer {
        let stopping = CancellationToken::new();
        let task = ServeTask {
            slots: Arc::new(Semaphore::new(self.settings.max_connections as usize)),
            refusals: Arc::new(Semaphore::new(REFUSAL_CONNECTIONS)),
            builder: connection_builder(&self.settings),
            surface,
            tls: self.tls,
            limit: self.settings.max_connections,
        };
        let address = self.address;
        let task = tokio::spawn(task.accept(self.listener, stopping.clone()));
        HttpServer {
            address,
            stopping,
            task,
        }
    }
}

fn connection_builder(settings: &ListenerSettings) -> auto::Builder<TokioExecutor> {
    let header_timeout = Duration::from_millis(settings.header_timeout_ms.into());
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(header_timeout)
        .max_buf_size(settings.max_header_bytes as usize + HEADER_SLACK);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(settings.max_header_bytes + HEADER_SLACK as u32);
    builder
}

fn tls_acceptor(settings: &ListenerSettings) -> Result<Option<TlsAcceptor>, ServerError> {
    if settings.certificate.is_empty() {
        return Ok(None);
    }
    let fail = |error: &dyn fmt::Display| ServerError::Tls {
        certificate: settings.certificate.clone(),
        key: settings.key.clone(),
        error: error.to_string(),
    };
    let chain =
        CertificateDer::pem_file_iter(&settings.certificate).map_err(|error| fail(&error))?;
    let chain: Vec<_> = chain
        .collect::<Result<_, _>>()
        .map_err(|error| fail(&error))?;
    let key = PrivateKeyDer::from_pem_file(&settings.key).map_err(|error| fail(&error))?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut config = rustls::ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|error| fail(&error))?
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .map_err(|error| fail(&error))?;
    config.alpn_protocols = vec![b"h2".to_vec(), b"http/1.1".to_vec()];
    Ok(Some(TlsAcceptor::from(Arc::new(config))))
}

#[derive(Clone)]
struct ServeTask {
    slots: Arc<Semaphore>,
    refusals: Arc<Semaphore>,
    builder: auto::Builder<TokioExecutor>,
    surface: ApiSurface,
    tls: Option<TlsAcceptor>,
    limit: u32,
}

impl ServeTask {
    async fn accept(self, listener: TcpListener, stopping: CancellationToken) {
        let graceful = GracefulShutdown::new();
        loop {
            let accepted = tokio::select! {
                () = stopping.cancelled() => break,
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
        drop(listener);
        graceful.shutdown().await;
    }

    fn spawn(&self, stream: TcpStream, watcher: Watcher) {
        let slot = Arc::clone(&self.slots).try_acquire_owned().ok();
        let refused = slot.is_none();
        let Some(permit) = slot.or_else(|| Arc::clone(&self.refusals).try_acquire_owned().ok())
        else {
            return;
        };
        if let Err(error) = stream.set_nodelay(true) {
            log_event!(debug, "nodelay_not_set", error = error);
        }
        let task = self.clone();
        tokio::spawn(async move {
            match task.tls.clone() {
                None => task.connection(stream, watcher, refused, permit).await,
                Some(acceptor) => {
                    let handshake =
                        tokio::time::timeout(TLS_TIMEOUT, acceptor.accept(stream)).await;
                    if let Ok(Ok(stream)) = handshake {
                        task.connection(stream, watcher, refused, permit).await;
                    }
                }
            }
        });
    }

    async fn connection<S>(
        self,
        stream: S,
        watcher: Watcher,
        refused: bool,
        permit: OwnedSemaphorePermit,
    ) where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let Self {
            surface,
            builder,
            limit,
            ..
        } = self;
        let service = service_fn(move |request| {
            let surface = surface.clone();
            async move {
                if refused {
                    let error = ApiError::TooManyConnections { limit };
                    return Ok::<_, Infallible>(response_body::error(&error, "none"));
                }
                Ok(surface.handle(request).await)
            }
        });
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        if let Err(error) = watcher.watch(connection).await {
            log_event!(debug, "connection_ended", error = error);
        }
        drop(permit);
    }
}
