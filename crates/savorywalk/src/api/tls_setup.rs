//! Makes a listener's TLS from the files that its settings name.

use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use tokio_rustls::TlsAcceptor;

use super::ServerError;
use crate::prelude::*;
use crate::settings::ListenerSettings;

/// Protocols offered in the handshake, the preferred one first.
const PROTOCOLS: [&[u8]; 2] = [b"h2", b"http/1.1"];

/// The acceptor, or `None` when the settings name no certificate.
pub(super) fn tls_acceptor(
    settings: &ListenerSettings,
) -> Result<Option<TlsAcceptor>, ServerError> {
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
    let offered = match settings.max_streams {
        0 => &PROTOCOLS[1..],
        _ => &PROTOCOLS[..],
    };
    config.alpn_protocols = offered.iter().map(|name| name.to_vec()).collect();
    Ok(Some(TlsAcceptor::from(Arc::new(config))))
}
