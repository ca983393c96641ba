use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, Uri};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use tokio::net::TcpListener;

use crate::{BenchError, Result};

/// Takes a request, sends it to a target in turn, sends the answer back: the
/// least that anything between callers and endpoints must do.
#[derive(Debug)]
struct BareForwarder {
    client: Client<HttpConnector, Incoming>,
    targets: Vec<SocketAddr>,
    turn: AtomicUsize,
}

/// Starts a forwarder in the current runtime; tells its address.
pub(crate) async fn start(targets: Vec<SocketAddr>) -> Result<SocketAddr> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let forwarder = Arc::new(BareForwarder {
        client: Client::builder(TokioExecutor::new()).build(connector),
        targets,
        turn: AtomicUsize::new(0),
    });
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.map_err(BenchError::Listen)?;
    let address = listener.local_addr().map_err(BenchError::Listen)?;
    tokio::spawn(accept(listener, forwarder));
    Ok(address)
}

async fn accept(listener: TcpListener, forwarder: Arc<BareForwarder>) {
    while let Ok((stream, _)) = listener.accept().await {
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let forwarder = Arc::clone(&forwarder);
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let forwarder = Arc::clone(&forwarder);
                async move { forwarder.forward(request).await }
            });
            let builder = auto::Builder::new(TokioExecutor::new());
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!("event=forwarder_connection_ended error={error:?}");
            }
        });
    }
}

impl BareForwarder {
    async fn forward(
        &self,
        mut request: Request<Incoming>,
    ) -> std::result::Result<Response<Incoming>, Error> {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let target = self.targets[turn % self.targets.len()];
        let uri = format!("http://{target}{}", request.uri().path());
        if let Ok(uri) = uri.parse::<Uri>() {
            *request.uri_mut() = uri;
        }
        self.client.request(request).await
    }
}
