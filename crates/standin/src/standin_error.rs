use std::io;
use std::net::SocketAddr;

use thiserror::Error;

/// Why a stand-in could not start.
#[derive(Debug, Error)]
pub enum StandinError {
    /// No address could be listened on.
    #[error("the stand-in can't listen on {address}: {error}; choose a free address")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's word.
        error: io::Error,
    },
}
