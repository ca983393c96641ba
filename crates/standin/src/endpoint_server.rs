use std::net::SocketAddr;
use std::sync::Arc;

use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::request_handler;
use crate::silent_connection::SilentConnection;
use crate::standin_endpoint::StandinEndpoint;
use crate::{
    EndpointCounts, FaultSwitch, OrderState, ReceiptObserver, Result, RunLedger, StandinError,
    StandinKind, StandinOptions,
};

/// A running stand-in; dropping it breaks its connections, as a crash would.
#[derive(Debug)]
pub struct EndpointServer {
    address: SocketAddr,
    pub(crate) endpoint: Arc<StandinEndpoint>,
    _tasks: JoinSet<()>,
}

impl EndpointServer {
    /// Starts a stand-in that listens on `address`.
    pub async fn start(options: StandinOptions, address: SocketAddr) -> Result<Self> {
        let failed = |error| StandinError::Listen { address, error };
        let listener = TcpListener::bind(address).await.map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let is_engine = options.kind == StandinKind::Engine;
        let endpoint = Arc::new(StandinEndpoint::new(options));
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, Arc::clone(&endpoint)));
        if is_engine {
            tasks.spawn(drive_engine(Arc::clone(&endpoint)));
        }
        Ok(Self {
            address,
            endpoint,
            _tasks: tasks,
        })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// How it was started.
    pub fn options(&self) -> &StandinOptions {
        &self.endpoint.options
    }

    /// What it has done.
    pub fn counts(&self) -> &EndpointCounts {
        &self.endpoint.counts
    }

    /// How often each request ran.
    pub fn runs(&self) -> &RunLedger {
        &self.endpoint.runs
    }

    /// What its orders have come to.
    pub fn order_state(&self) -> OrderState {
        self.endpoint.desk().state().clone()
    }

    /// Requests in progress and waiting, as they are now.
    pub fn load(&self) -> savorywalk::directory::EndpointLoad {
        self.endpoint.load()
    }

    /// Has `observer` called with each request that it starts to work on;
    /// tells whether there was no observer before.
    pub fn observe(&self, observer: ReceiptObserver) -> bool {
        self.endpoint.receipts.observe(observer)
    }

    /// Its faults.
    pub fn faults(&self) -> &FaultSwitch {
        &self.endpoint.faults
    }

    /// Makes every connection that is open now go silent for good; new ones
    /// work.
    pub fn silence_connections(&self) {
        self.endpoint.silencer.silence_open();
    }

    /// Breaks all connections and closes the listener, as a crash would.
    pub fn die(&self) {
        self.endpoint.die();
    }

    /// Begins to leave: announces it, finishes what is in progress, then goes.
    pub fn leave(&self) {
        let endpoint = Arc::clone(&self.endpoint);
        tokio::spawn(async move { endpoint.leave().await });
    }

    /// Waits until it is gone.
    pub async fn gone(&self) {
        self.endpoint.death.cancelled().await;
    }
}

async fn drive_engine(endpoint: Arc<StandinEndpoint>) {
    let run = endpoint.engine.run(&endpoint.counts, &endpoint.faults);
    tokio::select! {
        () = run => {}
        () = endpoint.death.cancelled() => {}
    }
}

async fn accept(listener: TcpListener, endpoint: Arc<StandinEndpoint>) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = endpoint.death.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else { return };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let stream = SilentConnection::new(stream, &endpoint.silencer);
        let endpoint = Arc::clone(&endpoint);
        connections.spawn(async move {
            let service =
                service_fn(move |request| request_handler::respond(Arc::clone(&endpoint), request));
            let builder = auto::Builder::new(TokioExecutor::new());
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!("event=standin_connection_ended error={error:?}");
            }
        });
        while connections.try_join_next().is_some() {}
    }
}
