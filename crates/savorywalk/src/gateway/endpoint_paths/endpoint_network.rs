use std::io;

use futures::future::BoxFuture;
use tokio::net::TcpStream;

use crate::prelude::*;

/// A TCP connection that is being opened.
pub type NetworkConnect<'a> = BoxFuture<'a, io::Result<TcpStream>>;

/// Opens connections to endpoints. A test replaces it to cut one of several daemons off from
/// them.
pub trait EndpointNetwork: fmt::Debug + Send + Sync + 'static {
    /// Opens a connection to an address, with no timeout of its own.
    fn connect(&self, address: SocketAddr) -> NetworkConnect<'_>;
}

/// The network of the VM.
#[derive(Clone, Copy, Debug)]
pub struct TcpNetwork;

impl EndpointNetwork for TcpNetwork {
    fn connect(&self, address: SocketAddr) -> NetworkConnect<'_> {
        Box::pin(TcpStream::connect(address))
    }
}
