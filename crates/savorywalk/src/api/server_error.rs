use std::io;

use crate::prelude::*;

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
