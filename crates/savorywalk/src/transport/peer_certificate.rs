use rustls::pki_types::CertificateDer;
use x509_parser::extensions::GeneralName;
use x509_parser::prelude::{FromDer, X509Certificate};

use super::PeerName;

/// What a certificate says about its daemon; the chain is checked by rustls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PeerCertificate {
    /// The daemon's name.
    pub name: PeerName,
    /// Seconds since 1970 after which it is no longer good.
    pub not_after: i64,
}

impl PeerCertificate {
    /// Reads the name from a certificate; `None` when it holds no good one.
    pub(super) fn parse(der: &CertificateDer<'_>) -> Option<Self> {
        let (_, certificate) = X509Certificate::from_der(der).ok()?;
        let names = certificate.subject_alternative_name().ok()??;
        let name = names
            .value
            .general_names
            .iter()
            .find_map(|name| match name {
                GeneralName::DNSName(name) => PeerName::new(name).ok(),
                _ => None,
            })?;
        Some(Self {
            name,
            not_after: certificate.validity().not_after.timestamp(),
        })
    }

    /// The certificate that the other end of `connection` has shown.
    pub(super) fn of(connection: &quinn::Connection) -> Option<Self> {
        let identity = connection.peer_identity()?;
        let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
        Self::parse(chain.first()?)
    }
}
