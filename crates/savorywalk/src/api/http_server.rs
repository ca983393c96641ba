use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use super::ServerError;
use super::bound_listener::BoundListener;
use super::tls_setup::tls_acceptor;
use crate::prelude::*;
use crate::settings::ListenerSettings;

/// One open listener and its connections.
#[derive(Debug)]
pub struct HttpServer {
    pub(super) address: SocketAddr,
    pub(super) stopping: CancellationToken,
    pub(super) task: JoinHandle<()>,
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
        let failed = |error| ServerError::Listen {
            address: settings.address.clone(),
            error,
        };
        let listener = TcpListener::bind(&settings.address).await.map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
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
